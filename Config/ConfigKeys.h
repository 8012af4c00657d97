#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus {

/// Names of the configuration's keys in the store, below one prefix. Their order in the store is
/// change/..., floor, snapshot, so that one List call returns changes followed by the floor.
class ConfigKeys
{
public:
    explicit ConfigKeys(std::string prefix);

    /// Returns the key of a change, which ends in its revision with 12 digits.
    std::string change(std::uint64_t revision) const;
    /// Returns the key of the floor: the revision up to which change keys may have been removed.
    std::string floor() const { return this->prefix + "floor"; }
    /// Returns a bound that sorts after the floor's key and before the snapshot's key.
    std::string afterFloor() const { return this->prefix + "floor~"; }
    std::string snapshot() const { return this->prefix + "snapshot"; }

    /// Returns the revision in the key of a change, or nothing for any other key.
    std::optional<std::uint64_t> revisionOf(std::string_view key) const;

private:
    std::string prefix;
    std::string changePrefix;
};

/// Formats a revision as the value of the floor.
std::string revisionToText(std::uint64_t revision);
/// Parses the value of the floor. Returns nothing if the text is not a decimal number.
std::optional<std::uint64_t> revisionFromText(std::string_view text);

} // namespace Hibiscus
