#pragma once

#include <Config/Configuration.h>
#include <Core/Findings.h>
#include <Fleet/Worker.h>

#include <span>
#include <string_view>

namespace Hibiscus {

/// Whether the workers of a data centre hold all guarantees stated for it at the same time, cells
/// of accelerated workers first of all. Use it before a change of customers is accepted. One
/// finding for each customer and level that doesn't fit beside those before it, at the JSON pointer
/// of its count.
Findings checkGuarantees(const Configuration &configuration, std::string_view dataCenter,
                         std::span<const WorkerDescription> workers);

} // namespace Hibiscus
