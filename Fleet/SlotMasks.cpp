#include <Fleet/SlotMasks.h>

namespace Hibiscus {

namespace {

constexpr std::array<SlotMask, cellOrderCount> alignedPattern{0xffffffff, 0x55555555, 0x11111111,
                                                              0x01010101, 0x00010001, 0x00000001};

/// Slots of the cells of 2^order slots that start at the bits of `starts`.
SlotMask expandCells(SlotMask starts, unsigned order)
{
    for (unsigned step = 0; step < order; ++step)
        starts |= starts << (1U << step);
    return starts;
}

} // namespace

SlotMask alignedStarts(SlotMask mask, unsigned order)
{
    for (unsigned step = 0; step < order; ++step)
        mask &= mask >> (1U << step);
    return mask & alignedPattern[order];
}

int largestOrder(SlotMask mask)
{
    int order = -1;
    for (unsigned next = 0; mask != 0; ++next) {
        order = static_cast<int>(next);
        if (next + 1 == cellOrderCount)
            break;
        mask &= mask >> (1U << next);
        mask &= alignedPattern[next + 1];
    }
    return order;
}

SlotMask bestFit(SlotMask mask, unsigned count, unsigned slots)
{
    for (unsigned order = orderFor(count); order < cellOrderCount; ++order) {
        SlotMask starts = alignedStarts(mask, order);
        // Cells that are half of a larger idle cell are left to later rounds.
        if (order + 1 < cellOrderCount)
            starts &= ~expandCells(alignedStarts(mask, order + 1), order + 1);
        if (starts != 0)
            return lowSlots(count) << std::countr_zero(starts);
    }
    const SlotMask whole = lowSlots(slots);
    if (count <= slots && (mask & whole) == whole)
        return lowSlots(count);
    return 0;
}

CellParts partsOf(SlotMask mask)
{
    CellParts parts;
    const SlotMask quads = alignedStarts(mask, 2);
    parts.quads = std::popcount(quads);
    mask &= ~expandCells(quads, 2);
    const SlotMask pairs = alignedStarts(mask, 1);
    parts.pairs = std::popcount(pairs);
    mask &= ~expandCells(pairs, 1);
    parts.slots = std::popcount(mask);
    return parts;
}

SlotMask slotsInParts(SlotMask mask, unsigned order)
{
    const SlotMask quads = expandCells(alignedStarts(mask, 2), 2);
    if (order == 2)
        return quads;
    const SlotMask pairs = expandCells(alignedStarts(mask & ~quads, 1), 1);
    return order == 1 ? pairs : mask & ~quads & ~pairs;
}

} // namespace Hibiscus
