#pragma once

#include "requests/types/callercontext.h"
#include "requests/types/requestproxyoptions.h"

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

// Forwards callers' HTTP/1.1 requests to one backend server. Must be used on the io_context's thread only.
class IRequestProxy {
public:
    virtual ~IRequestProxy() = default;

    // Serves one caller's connection until either side closes it. Does not throw. Both arguments must outlive the call.
    virtual boost::asio::awaitable<void> serve(IByteStream& caller, const CallerContext& context) = 0;

    // Closes idle connections after the drain grace period and the others after the response in progress; truncates no
    // response.
    virtual void drain() = 0;

    // Ends draining for new connections.
    virtual void resume() = 0;
};

class IKeyClaims;

// admission, clock, metrics, context and claims must outlive the proxy, and the proxy must outlive every call of serve.
// Without claims, idempotency keys are checked on this agent only.
std::unique_ptr<IRequestProxy> makeRequestProxy(const RequestProxyOptions& options, admission::IAdmission& admission, const IClock& clock, MetricsRegistry& metrics, boost::asio::io_context& context, IKeyClaims* claims = nullptr);

} // namespace clementinesill::requests
