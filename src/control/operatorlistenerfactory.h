#pragma once

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace clementinesill {
namespace net {
class IListener;
}
namespace schema {
class DaemonSettings;
}
} // namespace clementinesill

namespace clementinesill::control {

class IVersionedConfig;

// Starts a listener that serves operators over a protocol other than the project's gRPC API. The listener calls
// IVersionedConfig on the given event loop, which the control thread runs. Throws Error (AddressInUse).
using OperatorListenerFactory = std::function<std::unique_ptr<net::IListener>(boost::asio::io_context&, IVersionedConfig&, const schema::DaemonSettings&)>;

} // namespace clementinesill::control
