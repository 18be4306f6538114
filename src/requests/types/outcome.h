#pragma once

#include <string_view>

namespace clementinesill::requests {

// Outcome of a caller's request, as reported to the caller. An uncertain outcome is reported as Unknown, never guessed.
enum class Outcome {
    // The backend server's complete response was forwarded.
    Completed,
    // No byte of the request was sent to the backend server.
    NotRun,
    // Part of the request may have reached the backend server, and there is no response to forward.
    Unknown,
    // Part of the response was forwarded and the rest is missing; the caller's connection is reset.
    Truncated,
};

// Value of the Clementinesill-Outcome header, and of the outcome label of metrics.
constexpr std::string_view name(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Truncated:
        return "cut";
    }
    return "unknown";
}

} // namespace clementinesill::requests
