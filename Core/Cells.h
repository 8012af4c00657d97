#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Hibiscus {

/// The sizes in which guaranteed capacity is stated and kept whole, smallest first.
/// A slot is one of a worker's places for a task, with its accelerator where the worker has any.
enum class CellLevel : std::uint8_t { Slot, Pair, Quad, Worker, Rack };
inline constexpr std::size_t cellLevelCount = 5;

/// A guaranteed shape: how many cells of each level.
using CellCounts = std::array<std::uint32_t, cellLevelCount>;

} // namespace Hibiscus
