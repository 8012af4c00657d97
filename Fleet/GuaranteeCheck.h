#pragma once

#include <Core/Cells.h>
#include <Core/Findings.h>
#include <Fleet/Worker.h>

#include <span>
#include <string>

namespace Hibiscus {

/// What one customer is guaranteed in a data centre, with the place that states it.
struct DeclaredGuarantee
{
    std::string location; ///< A JSON pointer.
    CellCounts cells{};
};

/// Whether the workers of one data centre hold all guarantees stated for it at the same time, cells
/// of accelerated workers first of all. Use it before a change of customers is accepted. One
/// finding for each guarantee and level that doesn't fit beside those before it, at the place and
/// the name of the level.
Findings checkGuarantees(std::span<const DeclaredGuarantee> guarantees,
                         std::span<const WorkerDescription> workers);

} // namespace Hibiscus
