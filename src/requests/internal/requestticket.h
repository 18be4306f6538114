#pragma once

#include "requests/internal/requestadmitter.h"

#include <utility>

namespace clementinesill::requests {

// One admitted request; ends it as cancelled unless it was finished before.
class RequestTicket {
public:
    explicit RequestTicket(RequestAdmitter& admitter)
        : m_admitter(&admitter)
    {
    }

    ~RequestTicket() { finish({ .outcome = admission::RequestOutcome::Cancelled }); }
    RequestTicket(const RequestTicket&) = delete;
    RequestTicket& operator=(const RequestTicket&) = delete;

    // Only the first call counts.
    void finish(const admission::RequestResult& result)
    {
        if (auto* admitter = std::exchange(m_admitter, nullptr))
            admitter->finish(result);
    }

private:
    RequestAdmitter* m_admitter;
};

} // namespace clementinesill::requests
