#pragma once

#include <Config/Configuration.h>

#include <cstddef>

namespace Hibiscus {

/// At least the bytes of the configuration's JSON text, without writing it. Close enough to tell
/// that a configuration is far from the largest that the store can hold.
std::size_t jsonSizeBound(const Configuration &configuration);

} // namespace Hibiscus
