#include "passthrough/placementexplanation.h"

#include "admin.pb.h"
#include "fleet/fleettable.h"
#include "passthrough/internal/placementkey.h"
#include "passthrough/serverloadview.h"
#include "passthrough/types/entrydecision.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <vector>

namespace clementinesill::passthrough {

namespace {

struct RankedCandidate {
    unsigned key;
    PerceivedLoad load;
    schema::PlacementCandidate candidate;
};

// Sorts servers to which no new flow is sent after all others.
constexpr auto notPlacedKey = std::numeric_limits<unsigned>::max();

std::uint64_t milliseconds(Duration duration)
{
    return static_cast<std::uint64_t>(std::max<Duration::rep>(0, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
}

std::string_view closedState(const fleet::ServerEntry& server)
{
    if (server.draining)
        return "draining";
    return server.silent ? "silent" : "zone_out";
}

void describeLoad(const PerceivedLoad& load, const ServerLoadRecord& record, MonotonicTime now, schema::PlacementCandidate& candidate)
{
    auto expiry = record.busyUntil;
    if (load.full) {
        candidate.set_full_priority(record.fullPriority);
        expiry = record.fullUntil;
    } else if (load.unanswered) {
        expiry = record.unansweredUntil;
    }
    candidate.set_age_ms(milliseconds(now - record.recordedAt));
    candidate.set_expires_in_ms(milliseconds(expiry - now));
}

RankedCandidate rankCandidate(const fleet::ServerEntry& server, const fleet::RouteEntry& route, const std::string& zone, const ServerLoadView* loadView)
{
    RankedCandidate ranked { .key = notPlacedKey, .load = {}, .candidate = {} };
    auto& candidate = ranked.candidate;
    candidate.set_server(server.name);
    candidate.set_server_id(server.id);
    candidate.set_zone(server.zone);
    if (!server.accepting()) {
        candidate.set_load(std::string(closedState(server)));
        return ranked;
    }
    const auto now = loadView ? loadView->now() : MonotonicTime();
    if (loadView)
        ranked.load = loadView->load(server.id, route.priority, now);
    candidate.set_load(std::string(name(ranked.load)));
    if (!ranked.load.none())
        describeLoad(ranked.load, *loadView->record(server.id), now, candidate);
    if (!ranked.load.full)
        ranked.key = placementKey(ranked.load, server.zone != zone, route.kind);
    return ranked;
}

// Adds the servers in order and returns the rule that decides about the flow.
EntryReason addCandidates(const fleet::ServiceEntry& service, const fleet::RouteEntry& route, const std::string& zone, const ServerLoadView* loadView, schema::PlacementRecord& record)
{
    std::vector<RankedCandidate> ranking;
    ranking.reserve(service.servers.size());
    for (const auto& server : service.servers)
        ranking.push_back(rankCandidate(server, route, zone, loadView));
    std::ranges::stable_sort(ranking, {}, &RankedCandidate::key);
    std::uint32_t place = 0;
    auto previousKey = notPlacedKey;
    for (auto& [key, load, candidate] : ranking) {
        if (key != notPlacedKey) {
            place += key != previousKey ? 1 : 0;
            candidate.set_place(place);
        }
        previousKey = key;
        *record.add_candidates() = std::move(candidate);
    }
    if (record.candidates().empty() || !std::ranges::any_of(service.servers, &fleet::ServerEntry::accepting))
        return EntryReason::NoServer;
    const bool anyFull = std::ranges::any_of(ranking, [](const auto& candidate) { return candidate.load.full; });
    if (place && mayPlace(ranking.front().load, anyFull))
        return loadView && !loadView->empty() ? EntryReason::LeastLoaded : EntryReason::FirstAccepting;
    for (auto& candidate : *record.mutable_candidates())
        candidate.set_place(0);
    return EntryReason::ServiceFull;
}

void setDecision(EntryReason reason, schema::PlacementRecord& record)
{
    const bool placed = reason == EntryReason::FirstAccepting || reason == EntryReason::LeastLoaded;
    // Without a table the balancer cannot tell whether the route exists, so it drops the flow.
    const auto* otherwise = reason == EntryReason::NoTable ? "dropped" : "rejected";
    record.set_decision(placed ? "placed" : otherwise);
    record.set_reason(std::string(name(reason)));
}

} // namespace

schema::PlacementList explainPlacement(const Endpoint& address, const fleet::FleetTable& table, const std::string& zone, const ServerLoadView* loadView)
{
    schema::PlacementList list;
    const auto addRecord = [&]() -> schema::PlacementRecord& {
        auto& record = *list.add_records();
        record.set_version(table.version());
        record.set_route(format(address));
        return record;
    };
    const auto* route = table.route(address);
    if (!table.documentVersion() || !route) {
        auto& record = addRecord();
        setDecision(table.documentVersion() ? EntryReason::NoRoute : EntryReason::NoTable, record);
        return list;
    }
    double totalWeight = 0;
    for (const auto& target : route->targets)
        totalWeight += target.weight;
    for (const auto& target : route->targets) {
        if (!target.weight)
            continue;
        auto& record = addRecord();
        const auto* service = table.service(target.serviceId);
        record.set_service(service ? service->name : "");
        record.set_priority(route->priority);
        record.set_share(target.weight / totalWeight);
        setDecision(service ? addCandidates(*service, *route, zone, loadView, record) : EntryReason::NoServer, record);
    }
    if (list.records().empty())
        setDecision(EntryReason::NoServer, addRecord());
    return list;
}

} // namespace clementinesill::passthrough
