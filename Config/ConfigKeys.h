#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus {

/// Names of the configuration's keys in the store, below one prefix. Sorted by the store they
/// stand as change/..., floor, snapshot; so one List from a change on ends with the floor.
class ConfigKeys
{
public:
    explicit ConfigKeys(std::string prefix);

    /// The key of one change: its revision in 12 digits.
    std::string change(std::uint64_t revision) const;
    /// Holds the revision up to which change keys may have been removed.
    std::string floor() const { return this->prefix + "floor"; }
    /// Behind the floor and before the snapshot.
    std::string afterFloor() const { return this->prefix + "floor~"; }
    std::string snapshot() const { return this->prefix + "snapshot"; }

    /// The revision in a change's key, or nothing if it is another key.
    std::optional<std::uint64_t> revisionOf(std::string_view key) const;

private:
    std::string prefix;
    std::string changePrefix;
};

/// A revision as the floor's value holds it.
std::string revisionToText(std::uint64_t revision);
/// Nothing if the text is not a plain decimal number.
std::optional<std::uint64_t> revisionFromText(std::string_view text);

} // namespace Hibiscus
