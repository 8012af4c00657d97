#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Hibiscus {

/// Sizes of the cells in which guaranteed capacity is expressed and kept whole, smallest first. A
/// slot is a worker's capacity for one task, including an accelerator if the worker has any.
enum class CellLevel : std::uint8_t { Slot, Pair, Quad, Worker, Rack };
inline constexpr std::size_t cellLevelCount = 5;

/// Number of cells of each level.
using CellCounts = std::array<std::uint32_t, cellLevelCount>;

} // namespace Hibiscus
