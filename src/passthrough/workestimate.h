#pragma once

#include "foundation/iclock.h"
#include "foundation/movingaverage.h"
#include "foundation/types/endpoint.h"

#include <cstdint>
#include <map>

namespace clementinesill::passthrough {

// Moving averages of what requests need at one server: the time in a slot by route, and the time from the delivery of a SYN to
// the first byte of the request.
class WorkEstimate {
public:
    void recordHandshake(Duration handshake);
    void recordWork(const Endpoint& route, Duration work);

    // Mean work of the route's requests; that of all requests while the route has no samples.
    Duration work(const Endpoint& route) const;
    Duration meanWork() const { return m_meanWork.value(); }
    Duration handshake() const { return m_handshake.value(); }

    // Number of requests to deliver beyond the slots, so that a slot does not stay free during the handshake of the next request.
    std::uint32_t reserve(std::uint32_t slots) const;

private:
    // Follow a change within some sixteen requests and even out single slow ones.
    using Average = MovingAverage<16>;

    Average m_handshake { std::chrono::milliseconds(5) };
    Average m_meanWork { std::chrono::milliseconds(30) };
    // One entry for each route that the server has responded to.
    std::map<Endpoint, Average> m_workByRoute;
};

} // namespace clementinesill::passthrough
