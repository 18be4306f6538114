#pragma once

#include "control/istatemachine.h"

#include <string>
#include <string_view>
#include <vector>

// State machine that records every applied command with its index.
class RecordingMachine final : public clementinesill::control::IStateMachine {
public:
    std::vector<std::string> applied;

    void apply(const clementinesill::schema::LogEntry& entry) override
    {
        applied.push_back(std::to_string(entry.index()) + (entry.membership() ? " membership" : " " + entry.command()));
    }

    std::string snapshot() const override
    {
        std::string text;
        for (const auto& line : applied)
            text += line + "\n";
        return text;
    }

    void restore(std::string_view snapshot) override
    {
        applied.clear();
        while (!snapshot.empty()) {
            const auto end = snapshot.find('\n');
            applied.emplace_back(snapshot.substr(0, end));
            snapshot.remove_prefix(end + 1);
        }
    }
};
