#pragma once

#include <Core/Findings.h>
#include <Tasks/SystemConfiguration.h>

namespace Hibiscus::Tasks {

/// What is wrong with a version of the configuration that can be decoded. The locations are the
/// queues and customers by name, or "limits". No finding names an API key.
struct ConfigurationFaults
{
    /// Entries that no call or job ever uses.
    Findings unreachable;
    /// Limits and bounds that can't hold together.
    Findings contradictions;

    bool isEmpty() const { return this->unreachable.isEmpty() && this->contradictions.isEmpty(); }
};

/// Finds what decoding does not: the store takes such a version, and callers suffer from it.
ConfigurationFaults checkConfiguration(const SystemConfiguration &configuration);

/// One finding for each queue, customer and limit that differs, with both values. Counts API keys
/// that were added or removed and names none.
Findings compareConfigurations(const SystemConfiguration &inForce,
                               const SystemConfiguration &proposed);

} // namespace Hibiscus::Tasks
