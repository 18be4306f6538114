#pragma once

#include "requests/types/callercontext.h"
#include "requests/types/requestgateoptions.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

namespace clementinesill {
class IByteStream;
class MetricsRegistry;
} // namespace clementinesill

namespace clementinesill::admission {
class IAdmission;
}

namespace clementinesill::requests {

// Passes callers' HTTP/1.1 requests to one backend server. Thread-confined to the io_context's thread.
class IRequestGate {
public:
    virtual ~IRequestGate() = default;

    // Serves one caller's connection until either side has ended it. Does not throw; both arguments outlive it.
    virtual boost::asio::awaitable<void> serve(IByteStream& caller, const CallerContext& context) = 0;

    // Ends idle connections, and the others after the answer in progress; cuts none.
    virtual void drain() = 0;

    // Undoes drain for connections that come from now on.
    virtual void resume() = 0;
};

class IKeyClaims;

// admission, clock, metrics, context and claims outlive the gate, and the gate outlives every serve.
// Without claims an idempotency key holds on this agent only.
std::unique_ptr<IRequestGate> makeRequestGate(const RequestGateOptions& options, admission::IAdmission& admission, const IClock& clock, MetricsRegistry& metrics, boost::asio::io_context& context, IKeyClaims* claims = nullptr);

} // namespace clementinesill::requests
