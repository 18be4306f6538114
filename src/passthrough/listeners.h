#pragma once

#include <functional>
#include <memory>
#include <string>

namespace clementinesill::net {
class IListener;
}

namespace clementinesill::passthrough {

class IHeartbeatHandler;

// Factories that start an HTTP listener at the endpoint. They throw Error (AddressInUse). The predicate and the handler are
// called from the listener's thread; the handler and the objects that the predicate refers to must outlive the listener.
using ReadyListenerFactory = std::function<std::unique_ptr<net::IListener>(const std::string& endpoint, std::function<bool()> ready)>;
using HeartbeatListenerFactory = std::function<std::unique_ptr<net::IListener>(const std::string& endpoint, IHeartbeatHandler& handler)>;

} // namespace clementinesill::passthrough
