#pragma once

namespace clementinesill::net {

// Serves calls from outside until it is stopped or destroyed.
class IListener {
public:
    virtual ~IListener() = default;

    // Takes no new call. May be called more than once.
    virtual void stop() = 0;
};

} // namespace clementinesill::net
