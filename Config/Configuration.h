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

/// Stored form of a caller's or operator's API key. The secret itself is not stored.
struct ApiKey
{
    std::string name; ///< Public part; presented with the secret as "name.secret".
    Role role = Role::Caller;
    std::string salt; ///< Hexadecimal digits.
    std::string hash; ///< Salted hash of the secret in hexadecimal digits.

    bool operator==(const ApiKey &) const = default;
};

/// One customer. Guarantees are given for each data centre, so that partitioned data centres never
/// promise the same cells twice.
struct Customer
{
    std::string name;
    std::map<std::string, CellCounts> guarantees; ///< By data centre.
    double share = 1.0; ///< Weight among customers for capacity that is not guaranteed.
    std::uint32_t waitingCallers
        = 64; ///< Maximum number of held connections at one entry instance.
    std::vector<ApiKey> keys;

    bool operator==(const Customer &) const = default;
};

/// Limits of one urgency class under a preset.
struct ClassLimits
{
    std::uint32_t queuedPerCustomer = 1000; ///< Maximum of jobs queued at one dispatcher.
    double keptShare = 0.0; ///< Fraction of all slots reserved for this class.
    double largestShare = 1.0; ///< Maximum fraction of all slots used by this class.
    Duration ageing
        = seconds(600); ///< Queueing time after which a job is treated as one class higher.
    Duration longestRun = std::chrono::hours(12); ///< Maximum run time of a job.

    bool operator==(const ClassLimits &) const = default;
};

/// A named operating mode of the system. Exactly one preset is in force at a time.
struct Preset
{
    std::string name;
    bool lending = true; ///< Other customers may use idle guaranteed cells.
    std::array<ClassLimits, urgencyClassCount> classes;
    std::vector<std::string> closedDataCenters; ///< Under maintenance; no new work starts there.

    bool operator==(const Preset &) const = default;
};

/// All settings made by operators, as of one revision.
struct Configuration
{
    std::uint64_t revision = 0; ///< 0 means that no configuration is known yet.
    std::map<std::string, Customer> customers;
    std::map<std::string, Preset> presets;
    std::string presetInForce;

    bool operator==(const Configuration &) const = default;

    /// Returns the preset in force, or nullptr if no configuration is known yet.
    const Preset *activePreset() const;
};

} // namespace Hibiscus
