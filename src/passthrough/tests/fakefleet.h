#pragma once

#include "control.pb.h"
#include "fleet/fleettable.h"
#include "fleet/ifleetclient.h"
#include "fleet/itablesource.h"
#include "foundation/error.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace clementinesill::passthrough {

// Controllers that accept each announcement and serve one table.
class FakeFleet final : public fleet::IFleetClient, public fleet::ITableSource {
public:
    void start() override { }
    void stop() override { }
    fleet::ITableSource& tables() override { return *this; }

    fleet::Registration registerServer(const schema::ServerAnnouncement& announcement, Duration timeout) override
    {
        std::unique_lock lock(mutex);
        announcedNames.push_back(announcement.name());
        if (unavailableNames.contains(announcement.name())) {
            changed.notify_all();
            changed.wait_for(lock, timeout, [this, before = interruptions] { return interruptions != before; });
            throw Error(ErrorKind::Unavailable, "no controller accepted the call in time", "try again");
        }
        const bool replaced = replacedBootIds.contains(announcement.boot_id());
        announcedBootIds.push_back(announcement.boot_id());
        changed.notify_all();
        if (replaced)
            throw Error(ErrorKind::Conflict, "a newer start has registered", "use another boot id");
        return { .serverId = 1, .incarnation = 1 };
    }

    // Waits until at least this many announcements were received.
    bool waitForAnnouncements(std::size_t count)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, std::chrono::seconds(20), [&] { return announcedBootIds.size() >= count; });
    }

    bool renew(const schema::RenewRequest&) override { return true; }
    void leave(const fleet::Registration&, bool) override { }

    void leaveStaleController(std::uint64_t newerVersion) override
    {
        const std::lock_guard lock(mutex);
        newerVersions.push_back(newerVersion);
        changed.notify_all();
    }

    // Waits until the client was told to leave its controller.
    bool waitForNewerVersion(Duration timeout)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, timeout, [&] { return !newerVersions.empty(); });
    }

    void interruptCalls() override
    {
        const std::lock_guard lock(mutex);
        ++interruptions;
        changed.notify_all();
    }

    // Waits until the server is announced as the last one.
    bool waitForAnnouncement(const std::string& name, Duration timeout)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, timeout, [&] { return !announcedNames.empty() && announcedNames.back() == name; });
    }

    std::shared_ptr<const fleet::FleetTable> table() const override { return current; }
    MonotonicTime confirmedAt() const override { return {}; }
    MonotonicTime leaderConfirmedAt() const override { return {}; }
    void recordSeenVersion(std::uint64_t) override { }
    std::uint64_t highestVersionSeen() const override { return 0; }

    std::shared_ptr<const fleet::FleetTable> current;
    std::mutex mutex;
    std::condition_variable changed;
    // Guarded by mutex. Announcements of these are rejected, as those of instances that another one has replaced.
    std::set<std::uint64_t> replacedBootIds;
    std::vector<std::uint64_t> announcedBootIds;
    // Announcements of these servers are neither accepted nor rejected.
    std::set<std::string> unavailableNames;
    std::vector<std::string> announcedNames;
    int interruptions = 0;
    // Arguments of leaveStaleController().
    std::vector<std::uint64_t> newerVersions;
};

} // namespace clementinesill::passthrough
