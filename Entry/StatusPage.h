#pragma once

#include <Entry/EntryMachine.h>

#include <string>

namespace Hibiscus {

/// The operators' status page, one JSON object.
std::string statusToJson(const EntryMachine::Status &status);

/// The same figures and the callers' histograms in the Prometheus text format.
std::string metricsToText(const EntryMachine::Status &status, const CallMetrics &calls);

} // namespace Hibiscus
