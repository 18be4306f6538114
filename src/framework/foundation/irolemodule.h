#pragma once

namespace clementinesill {

namespace admin {
class IAdminSource;
}

// Implements a role of the daemon: creates its services, starts them and shuts them down gracefully.
class IRoleModule {
public:
    virtual ~IRoleModule() = default;

    // Returns once the role is running. Throws Error if it cannot start.
    virtual void start() = 0;

    // Drains the role: accepts no new work and returns once the work in progress is finished.
    virtual void stop() = 0;

    // Source of the role's state for the admin endpoint, valid during the lifetime of the role; null if there is none.
    virtual const admin::IAdminSource* adminSource() const { return nullptr; }
};

} // namespace clementinesill
