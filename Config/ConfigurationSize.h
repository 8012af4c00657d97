#pragma once

#include <Config/Configuration.h>

#include <cstddef>

namespace Hibiscus {

/// Returns an upper bound of the size of the configuration's JSON text without writing the text.
/// The bound is close enough to show that a configuration is far below the store's limit.
std::size_t jsonSizeBound(const Configuration &configuration);

} // namespace Hibiscus
