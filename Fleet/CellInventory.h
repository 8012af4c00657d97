#pragma once

#include <Core/Cells.h>
#include <Fleet/SlotMasks.h>
#include <Fleet/WorkerSet.h>

#include <vector>

namespace Hibiscus {

/// The sizes of the two largest cells. Workers with fewer slots only give quads, pairs and slots;
/// racks with fewer workers only give workers.
struct CellShape
{
    std::uint16_t workerSlots = 0;
    std::uint32_t rackWorkers = 0;

    bool operator==(const CellShape &) const = default;
};

/// True if `after` lacks more than `before` at any level.
bool hasLargerDeficit(const CellCounts &after, const CellCounts &before);
/// True if nothing is counted at any level.
bool isAllZero(const CellCounts &counts);

/// Counts the largest whole cells of a changing set of slots, and says whether a multiset of cells
/// can be cut out of them. Cells lie inside one another or apart, so cutting the largest first is
/// exact: no other choice of cells succeeds where this one fails.
class CellInventory
{
public:
    /// Forgets all slots and takes a new shape.
    void reset(const CellShape &shape, std::size_t workers, std::size_t racks);

    /// Makes room for further workers and racks; keeps all slots.
    void resize(std::size_t workers, std::size_t racks);

    /// `mask` are the slots of the worker that are counted now.
    void set(WorkerId worker, std::uint32_t rack, std::uint16_t slots, SlotMask mask);

    /// What of `need` cannot be cut out, for each level.
    CellCounts deficit(const CellCounts &need) const;

    /// The slots of the worker that lie in largest cells of that level. Cells are cut out of the
    /// smallest that hold them; then a cut fails only if no other would do.
    SlotMask slotsOfLargestCells(WorkerId worker, std::uint32_t rack, CellLevel level) const;

    const CellCounts &largestCells() const { return this->cells; }
    bool isRackWhole(std::uint32_t rack) const;
    /// Workers of the shape's size whose slots all count, in whole racks or not.
    const WorkerSet &wholeWorkers() const { return this->whole; }
    /// Workers that aren't whole and have a largest cell of that level: slot, pair or quad.
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
