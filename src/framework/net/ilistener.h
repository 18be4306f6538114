#pragma once

namespace clementinesill::net {

// A server for requests from outside the system; serves until it is stopped or destroyed.
class IListener {
public:
    virtual ~IListener() = default;

    // Stops accepting requests. May be called more than once.
    virtual void stop() = 0;
};

} // namespace clementinesill::net
