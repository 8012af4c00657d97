#pragma once

#include <Config/ConfigReplica.h>
#include <Config/Configuration.h>
#include <Core/Findings.h>

#include <span>
#include <tl/expected.hpp>

namespace Hibiscus {

/// Checks an operator's change against the present configuration and the known fleet, and returns
/// the configuration of the next revision. The places of findings are JSON pointers into the
/// change; findings about guarantees name the customers and the data centre.
tl::expected<Configuration, Findings> applyChange(const Configuration &configuration,
                                                  const ConfigChange &change,
                                                  std::span<const DataCenterCells> fleet);

/// Applies a change that is already accepted. Every instance has to get the same result, so this
/// uses nothing that may differ between instances, such as the fleet.
void applyAcceptedChange(const ConfigChange &change, Configuration &configuration);

} // namespace Hibiscus
