#pragma once

#include <Core/Cells.h>
#include <Core/Job.h>
#include <Core/Time.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Hibiscus {

enum class Role : std::uint8_t { Caller, Operator };

/// A caller's or operator's key as it is stored. The secret itself is nowhere kept.
struct ApiKey
{
    std::string name; ///< Public part, sent along with the secret as "name.secret".
    Role role = Role::Caller;
    std::string salt; ///< Hexadecimal.
    std::string hash; ///< Hexadecimal, of the secret under the salt.

    bool operator==(const ApiKey &) const = default;
};

/// One customer. Guarantees are stated for each data centre, so that data centres that are cut
/// off from each other never promise the same cells twice.
struct Customer
{
    std::string name;
    std::map<std::string, CellCounts> guarantees; ///< By data centre.
    double share = 1.0; ///< Weight among customers for what is not guaranteed.
    std::uint32_t waitingCallers = 64; ///< Held connections at one entry instance.
    std::vector<ApiKey> keys;

    bool operator==(const Customer &) const = default;
};

/// Limits of one urgency class under a preset.
struct ClassLimits
{
    std::uint32_t queuedPerCustomer = 1000; ///< Jobs waiting at one dispatcher.
    double keptShare = 0.0; ///< Part of all slots that only this class may fill.
    double largestShare = 1.0; ///< Part of all slots that this class may fill at most.
    Duration ageing = seconds(600); ///< After so long a wait a job counts as one class higher.
    Duration longestRun = std::chrono::hours(12);

    bool operator==(const ClassLimits &) const = default;
};

/// How the system behaves on one kind of day. Exactly one preset is in force.
struct Preset
{
    std::string name;
    bool lending = true; ///< Idle guaranteed cells may be used by others.
    std::array<ClassLimits, urgencyClassCount> classes;
    std::vector<std::string> closedDataCenters; ///< Under maintenance: no new work starts there.

    bool operator==(const Preset &) const = default;
};

/// Everything operators have decided, as of one revision.
struct Configuration
{
    std::uint64_t revision = 0; ///< 0 means that nothing is known yet.
    std::map<std::string, Customer> customers;
    std::map<std::string, Preset> presets;
    std::string presetInForce;

    bool operator==(const Configuration &) const = default;

    /// The preset in force, or nullptr if nothing is known yet.
    const Preset *activePreset() const;
};

} // namespace Hibiscus
