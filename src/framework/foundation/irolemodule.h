#pragma once

namespace clementinesill {

namespace admin {
class IAdminSource;
}

// A role of the daemon: wires its services, starts them, and stops them gracefully.
class IRoleModule {
public:
    virtual ~IRoleModule() = default;

    // Returns once the role serves. Throws Error if it cannot.
    virtual void start() = 0;

    // Drains: finishes what is in progress, takes nothing new, then returns.
    virtual void stop() = 0;

    // What the role tells on the admin endpoint, valid as long as the role; null if it tells nothing.
    virtual const admin::IAdminSource* adminSource() const { return nullptr; }
};

} // namespace clementinesill
