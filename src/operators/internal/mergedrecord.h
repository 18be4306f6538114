#pragma once

#include "foundation/types/errorkind.h"
#include "operators/configerror.h"
#include "operators/internal/valuecheck.h"
#include "operators/types/configfault.h"
#include "operators/types/configposition.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace clementinesill::operators {

// A record merged from several files, with the position of each key that they set.
template <typename Record>
struct MergedRecord {
    Record record;
    // Position in the last file that contains the record.
    ConfigPosition position;
    std::map<std::string, ConfigPosition> positions;

    bool hasKey(const std::string& key) const { return positions.contains(key); }

    // Throws ConfigError at the position of the key, or of the record if no file sets the key.
    [[noreturn]] void fail(ConfigFault fault, const std::string& key, const std::string& problem, const std::string& remedy) const
    {
        const auto found = positions.find(key);
        const auto kind = fault == ConfigFault::Ipv6Address ? ErrorKind::Unsupported : ErrorKind::InvalidConfiguration;
        throw ConfigError(kind, fault, found == positions.end() ? position : found->second, problem, remedy);
    }

    void require(const std::string& key) const
    {
        if (!hasKey(key))
            fail(ConfigFault::MissingKey, key, "'" + record.name() + "' has no " + key, "add the key " + key + " to the record");
    }

    // Returns the value if it is within the bounds, otherwise throws ConfigError (OutOfRange).
    std::uint32_t requireInRange(const std::string& key, std::uint32_t value, std::uint32_t minimum, std::uint32_t maximum) const
    {
        if (value < minimum || value > maximum)
            fail(ConfigFault::OutOfRange, key, std::to_string(value) + " is out of range", "use a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return value;
    }

    // Returns the value named by the text. Throws ConfigError (UnknownValue) if there is none.
    template <typename Value>
    Value requireOneOf(const std::string& key, const std::string& text, std::span<const NamedValue<Value>> values) const
    {
        std::string choices;
        for (const auto& candidate : values) {
            if (candidate.name == text)
                return candidate.value;
            choices.append(choices.empty() ? "" : " or ").append("\"").append(candidate.name).append("\"");
        }
        fail(ConfigFault::UnknownValue, key, "'" + text + "' is not known", "write " + choices);
    }
};

} // namespace clementinesill::operators
