#pragma once

#include "requests/internal/requestadmitter.h"
#include "requests/internal/serverpool.h"
#include "requests/keystore.h"
#include "requests/requestledger.h"
#include "requests/retrybudget.h"
#include "requests/types/requestgateoptions.h"

namespace clementinesill {
class MetricsRegistry;
}

namespace clementinesill::requests {

class IKeyClaims;

// What all connections of a gate share.
struct GateState {
    GateState(const RequestGateOptions& options, admission::IAdmission& admission, const IClock& clock, MetricsRegistry& metrics, boost::asio::any_io_executor executor, IKeyClaims* claims)
        : options(options)
        , admission(admission)
        , clock(clock)
        , metrics(metrics)
        , executor(executor)
        , admitter(admission, options.queue, clock, executor)
        , retryBudget(options.retries)
        , pool(executor, ledger)
        , keys(options.keys, clock)
        , claims(claims)
    {
    }

    const RequestGateOptions options;
    admission::IAdmission& admission;
    const IClock& clock;
    MetricsRegistry& metrics;
    boost::asio::any_io_executor executor;
    RequestAdmitter admitter;
    RetryBudget retryBudget;
    RequestLedger ledger;
    ServerPool pool;
    KeyStore keys;
    // Null if keys hold on this agent only.
    IKeyClaims* claims;
    bool draining = false;
};

} // namespace clementinesill::requests
