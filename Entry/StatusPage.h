#pragma once

#include <Entry/EntryMachine.h>

#include <string>

namespace Hibiscus {

/// Renders the operators' status page as one JSON object.
std::string statusToJson(const EntryMachine::Status &status);

/// Renders the figures of the status page and the metrics of callers' requests in the Prometheus
/// text format.
std::string metricsToText(const EntryMachine::Status &status, const CallMetrics &calls);

} // namespace Hibiscus
