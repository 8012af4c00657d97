#pragma once

#include <Fleet/Worker.h>

#include <array>
#include <bit>

namespace Hibiscus {

/// Orders of aligned cells inside a worker: 1, 2, 4, 8, 16 and 32 slots.
inline constexpr unsigned cellOrderCount = 6;

/// The lowest `count` slots of a worker.
constexpr SlotMask lowSlots(unsigned count)
{
    return count >= maxSlots ? ~SlotMask(0) : (SlotMask(1) << count) - 1;
}

/// The order of the smallest aligned cell that holds `count` slots, count at least 1.
constexpr unsigned orderFor(unsigned count)
{
    return static_cast<unsigned>(std::bit_width(count - 1));
}

/// First slots of all aligned cells of 2^order slots that lie wholly inside `mask`.
SlotMask alignedStarts(SlotMask mask, unsigned order);

/// Order of the largest aligned cell inside `mask`, -1 if it is empty.
int largestOrder(SlotMask mask);

/// `count` adjacent slots of `mask`, from the smallest aligned cell that is large enough; 0 if
/// there is none. A worker of `slots` slots that is wholly inside `mask` also counts as one cell.
SlotMask bestFit(SlotMask mask, unsigned count, unsigned slots);

/// Decomposition of a mask into quads, pairs and slots, largest first.
struct CellParts
{
    std::uint32_t slots = 0;
    std::uint32_t pairs = 0;
    std::uint32_t quads = 0;
};
CellParts partsOf(SlotMask mask);

/// The slots of the parts of `mask` that have that order: slot, pair or quad.
SlotMask slotsInParts(SlotMask mask, unsigned order);

} // namespace Hibiscus
