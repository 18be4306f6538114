#pragma once

#include <string_view>

namespace clementinesill::requests {

// What became of a caller's request; the caller is told one of these and never a guess.
enum class Outcome {
    // The backend server's whole answer was passed on.
    Answered,
    // No byte of the request was handed to the backend server.
    NotRun,
    // Some of the request may have reached the backend server and no answer can be passed on.
    Unknown,
    // The answer was begun and cannot be completed; the caller's connection is reset.
    Cut,
};

// Value of the Clementinesill-Outcome header, and of the outcome label of metrics.
constexpr std::string_view name(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Cut:
        return "cut";
    }
    return "unknown";
}

} // namespace clementinesill::requests
