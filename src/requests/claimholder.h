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

// One agent's part as a holder of claims: it grants a key to one claim at a time.
//
// Any two majorities for a key share a holder that voted for both, so it must not have forgotten the first.
// A holder votes only on keys that it has held, in every view of the service's agents, for the whole time in
// which an unknown claim could still be valid; and only while its view is known to be current.
class ClaimHolder {
public:
    // Begins without memory: it abstains for the abstention time.
    ClaimHolder(std::uint32_t server, const ClaimOptions& options, const IClock& clock);

    // Called with the ids of the service's agents whenever they are known to be current, changed or not.
    void onView(std::vector<std::uint32_t> servers);

    // Votes on a claim; the same claim may ask again and gets the same vote.
    ClaimBallot vote(std::string_view key, const ClaimId& claim);

    // Frees the key if the claim holds it.
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

    bool isCurrent() const;
    bool heldThroughout(std::string_view key, std::uint32_t& majority) const;
    void forgetViews();
    void forgetExpired();

    std::uint32_t m_server;
    ClaimOptions m_options;
    const IClock& m_clock;
    MonotonicTime m_begin;
    MonotonicTime m_confirmed;
    // Views in force within the abstention time, oldest first.
    std::deque<View> m_views;
    std::unordered_map<std::string, Claim> m_claims;
    // Keys in the order of their grants; may hold keys that were released since.
    std::deque<std::pair<MonotonicTime, std::string>> m_order;
};

} // namespace clementinesill::requests
