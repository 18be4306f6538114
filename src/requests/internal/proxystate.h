#pragma once

#include "requests/internal/requestadmitter.h"
#include "requests/internal/serverpool.h"
#include "requests/keystore.h"
#include "requests/requesttracker.h"
#include "requests/retrybudget.h"
#include "requests/types/requestproxyoptions.h"

namespace clementinesill {
class MetricsRegistry;
}

namespace clementinesill::requests {

class IKeyClaims;

// State shared by all connections of a proxy.
struct ProxyState {
    ProxyState(const RequestProxyOptions& options, admission::IAdmission& admission, const IClock& clock, MetricsRegistry& metrics, boost::asio::any_io_executor executor, IKeyClaims* claims)
        : options(options)
        , admission(admission)
        , clock(clock)
        , metrics(metrics)
        , executor(executor)
        , admitter(admission, options.queue, clock, executor)
        , retryBudget(options.retryBudget)
        , pool(executor, tracker)
        , keyStore(options.keyStore, clock)
        , claims(claims)
    {
    }

    const RequestProxyOptions options;
    admission::IAdmission& admission;
    const IClock& clock;
    MetricsRegistry& metrics;
    boost::asio::any_io_executor executor;
    RequestAdmitter admitter;
    RetryBudget retryBudget;
    RequestTracker tracker;
    ServerPool pool;
    KeyStore keyStore;
    // Null if keys are checked on this agent only.
    IKeyClaims* claims;
    bool draining = false;
};

} // namespace clementinesill::requests
