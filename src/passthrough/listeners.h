#pragma once

#include <functional>
#include <memory>
#include <string>

namespace clementinesill::net {
class IListener;
}

namespace clementinesill::passthrough {

class IHeartbeatHandler;

// Start an HTTP listener at the endpoint. Throw Error (AddressInUse). The predicate and the handler must outlive the
// listener, and are called from its thread.
using ReadyListenerFactory = std::function<std::unique_ptr<net::IListener>(const std::string& endpoint, std::function<bool()> ready)>;
using HeartbeatListenerFactory = std::function<std::unique_ptr<net::IListener>(const std::string& endpoint, IHeartbeatHandler& handler)>;

} // namespace clementinesill::passthrough
