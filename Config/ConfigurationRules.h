#pragma once

#include <Config/ConfigReplica.h>
#include <Config/Configuration.h>
#include <Core/Findings.h>

#include <span>
#include <tl/expected.hpp>

namespace Hibiscus {

/// Checks an operator's change against what is in force and against the fleet as it is known,
/// and returns the configuration of the next revision. Findings are placed by the change's JSON
/// pointers; those on guarantees name customer and data centre.
tl::expected<Configuration, Findings> applyChange(const Configuration &configuration,
                                                  const ConfigChange &change,
                                                  std::span<const DataCenterCells> fleet);

/// Makes a change that is already accepted. Every instance has to come to the same result, so
/// this looks at nothing that instances may see differently, such as the fleet.
void applyAcceptedChange(const ConfigChange &change, Configuration &configuration);

} // namespace Hibiscus
