#pragma once

#include <string>
#include <string_view>

namespace clementinesill::schema {
class LogEntry;
}

namespace clementinesill::control {

// State machine of the replicated log; receives every committed entry once, in order.
class IStateMachine {
public:
    virtual ~IStateMachine() = default;

    virtual void apply(const schema::LogEntry& entry) = 0;
    virtual std::string snapshot() const = 0;
    virtual void restore(std::string_view snapshot) = 0;
};

} // namespace clementinesill::control
