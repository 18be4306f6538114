#pragma once

#include "requests/types/claimoptions.h"
#include "requests/types/keyclaim.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace clementinesill::requests {

// Votes on claims of idempotency keys for one agent; grants each key to one claim at a time.
//
// Any two majorities for a key have a voter in common, which must still have the first claim when it gets the second.
// A voter therefore abstains unless it was a voter of the key in every view of the service's agents during the whole
// abstention period, in which a claim that it has not seen could still be valid, and unless its view is current.
class ClaimVoter {
public:
    // Starts without any claims, so it abstains for the abstention period.
    ClaimVoter(std::uint32_t server, const ClaimOptions& options, const IClock& clock);

    // Sets the ids of the service's agents. Must be called whenever the ids are confirmed, even if unchanged.
    void onView(std::vector<std::uint32_t> servers);

    // Votes on a claim. A repeated request for a granted claim is granted again.
    ClaimResponse vote(std::string_view key, const ClaimId& claim);

    // Frees the key if it is granted to the claim.
    void release(std::string_view key, const ClaimId& claim);

    std::size_t claims() const { return m_claims.size(); }

private:
    struct View {
        MonotonicTime since;
        std::vector<std::uint32_t> servers;
    };
    struct Claim {
        ClaimId id;
        MonotonicTime expires;
    };

    bool canVote() const;
    bool wasVoterThroughout(std::string_view key, std::uint32_t& majority) const;
    void removeOldViews();
    void removeExpired();

    std::uint32_t m_server;
    ClaimOptions m_options;
    const IClock& m_clock;
    MonotonicTime m_startTime;
    MonotonicTime m_lastViewTime;
    // Views that were in force during the abstention period, oldest first.
    std::deque<View> m_views;
    std::unordered_map<std::string, Claim> m_claims;
    // Expiry times and keys in the order of the grants; includes keys that were released since.
    std::deque<std::pair<MonotonicTime, std::string>> m_grantOrder;
};

} // namespace clementinesill::requests
