#pragma once

#include <Core/Cells.h>
#include <Fleet/SlotMasks.h>
#include <Fleet/WorkerSet.h>

#include <vector>

namespace Hibiscus {

/// Sizes of the Worker and Rack cells. Workers with fewer slots provide only quad, pair and slot
/// cells; racks with fewer workers provide only worker cells.
struct CellShape
{
    std::uint16_t workerSlots = 0;
    std::uint32_t rackWorkers = 0;

    bool operator==(const CellShape &) const = default;
};

/// True if `after` misses more cells than `before` on any level.
bool hasLargerDeficit(const CellCounts &after, const CellCounts &before);
/// True if the counts of all levels are zero.
bool isAllZero(const CellCounts &counts);

/// Counts the largest whole cells in a changing set of slots, and decides whether a multiset of
/// cells can be cut out of them. Cells are nested or disjoint, so cutting the largest first is
/// exact: if that fails, every other choice of cells fails too.
class CellInventory
{
public:
    /// Removes all slots and sets a new shape.
    void reset(const CellShape &shape, std::size_t workers, std::size_t racks);

    /// Extends the inventory to more workers and racks; keeps all slots.
    void resize(std::size_t workers, std::size_t racks);

    /// Sets the slots of the worker that are counted to `mask`.
    void set(WorkerId worker, std::uint32_t rack, std::uint16_t slots, SlotMask mask);

    /// The number of cells of `need` that cannot be cut out, by level.
    CellCounts deficit(const CellCounts &need) const;

    /// The slots of the worker that lie in largest cells of that level. Cells are cut out of the
    /// smallest cell that holds them, so that a cut fails only if every alternative fails.
    SlotMask slotsOfLargestCells(WorkerId worker, std::uint32_t rack, CellLevel level) const;

    const CellCounts &largestCells() const { return this->cells; }
    bool isRackWhole(std::uint32_t rack) const;
    /// Workers of the shape's size whose slots are all counted, inside and outside whole racks.
    const WorkerSet &wholeWorkers() const { return this->whole; }
    /// Workers that are not whole and have a largest cell of that level: slot, pair or quad.
    const WorkerSet &partialWorkersWith(CellLevel level) const
    {
        return this->partial[static_cast<std::size_t>(level)];
    }

private:
    void add(WorkerId worker, std::uint32_t rack, SlotMask mask);
    void remove(WorkerId worker, std::uint32_t rack);

    CellShape shape;
    std::vector<SlotMask> masks;
    std::vector<std::uint32_t> wholeInRack;
    CellCounts cells{};
    WorkerSet whole;
    std::array<WorkerSet, 3> partial;
};

} // namespace Hibiscus
