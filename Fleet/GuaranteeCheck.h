#pragma once

#include <Core/Cells.h>
#include <Core/Findings.h>
#include <Fleet/Worker.h>

#include <span>
#include <string>

namespace Hibiscus {

/// One customer's guarantee in a data centre, with the location that declares it.
struct DeclaredGuarantee
{
    std::string location; ///< A JSON pointer.
    CellCounts cells{};
};

/// Checks that the workers of one data centre hold all guarantees declared for it at the same time.
/// Cells are cut out of accelerated workers, or of CPU-only workers if there are no others. Called
/// before a change of customers is accepted. Returns one finding for each guarantee and level that
/// does not fit beside the guarantees before it; the finding's location ends with the name of the
/// level.
Findings checkGuarantees(std::span<const DeclaredGuarantee> guarantees,
                         std::span<const WorkerDescription> workers);

} // namespace Hibiscus
