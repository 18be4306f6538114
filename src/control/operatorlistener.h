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

// Starts to serve operators by a protocol that is not the project's own; orders run on the control thread's loop.
// Throws Error (AddressInUse).
using OperatorListenerFactory = std::function<std::unique_ptr<net::IListener>(boost::asio::io_context&, IVersionedConfig&, const schema::DaemonSettings&)>;

} // namespace clementinesill::control
