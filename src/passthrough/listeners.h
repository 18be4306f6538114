#pragma once

#include <functional>
#include <memory>
#include <string>

namespace clementinesill::net {
class IListener;
}

namespace clementinesill::passthrough {

class IServerBeats;

// Start to serve HTTP at the endpoint. Throw Error (AddressInUse). The predicate and the beats must outlive the listener,
// and are called from its thread.
using ReadyListenerFactory = std::function<std::unique_ptr<net::IListener>(const std::string& endpoint, std::function<bool()> ready)>;
using BeatListenerFactory = std::function<std::unique_ptr<net::IListener>(const std::string& endpoint, IServerBeats& beats)>;

} // namespace clementinesill::passthrough
