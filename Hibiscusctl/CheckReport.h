#pragma once

#include <Core/Findings.h>
#include <Tasks/ConfigurationCheck.h>

#include <string>

namespace Hibiscus {

/// Result of the check of a configuration before it is sent.
struct CheckReport
{
    Findings errors; ///< Why one of the texts can't be decoded; there are no differences then.
    Tasks::ConfigurationFaults faults;
    Findings differences; ///< From the version in force, if there is one to compare with.

    /// Whether the configuration should be sent as it is.
    bool isSound() const { return this->errors.isEmpty() && this->faults.isEmpty(); }
};

/// Checks the text of a configuration of `hibiscus-node`. `inForce` is the text of the version in
/// force; empty: nothing to compare with.
CheckReport checkConfigurationText(const std::string &text, const std::string &inForce);

/// Renders the report as lines under a heading for each part, or as one JSON object.
std::string renderReport(const CheckReport &report, bool json);

} // namespace Hibiscus
