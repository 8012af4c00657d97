#pragma once

#include <Fleet/FleetTable.h>
#include <Policy/Scheduler.h>

#include <array>
#include <optional>
#include <span>
#include <vector>

namespace Hibiscus {

/// A cell of a customer's guarantee, bound to slots while a guaranteed job uses some of them.
/// A bound rack is one cell a worker, all with the rack's binding.
struct BoundCell
{
    CustomerId customer;
    CellLevel level = CellLevel::Slot;
    bool isBound = false;
    WorkerId worker;
    SlotMask slots = 0;
    SlotMask used = 0; ///< By guaranteed jobs, started or claiming.
    std::uint32_t usedMemoryMiB = 0;

    SlotMask unused() const { return this->slots & ~this->used; }
};

/// Which cells of the guarantees are bound to which slots.
///
/// The invariant: every customer's unbound cells can be cut, all at the same time, out of the slots
/// that are in no bound cell and that nobody holds for good. Those slots are idle or lent, so every
/// guarantee can be had by asking borrowers to leave. `tryBind` and `wouldHold` refuse whatever
/// breaks this; only failing workers can, and then `shortfalls` says of whom.
class GuaranteeBindings
{
public:
    explicit GuaranteeBindings(FleetTable &fleet)
        : fleet(fleet)
    {}

    /// Customers in the order of their ids. Look at `excessCell` afterwards.
    void setGuarantees(std::span<const CellCounts> newGuarantees);
    /// A bound cell of the customer beyond its guarantee, if there is one.
    std::optional<std::uint32_t> excessCell(CustomerId customer) const;

    /// Binds one cell below the level of racks. Fails, and changes nothing, if the customer has no
    /// unbound cell of that level or less of what is guaranteed could be cut out afterwards.
    std::optional<std::uint32_t> tryBind(CustomerId customer, CellLevel level, WorkerId worker,
                                         SlotMask slots);
    /// Binds a whole rack likewise. Its cells are found with `cellAt`.
    bool tryBindRack(CustomerId customer, std::uint32_t rack);
    /// Unbinds the cell if nothing uses it; a rack's cells only all together.
    void unbindIfUnused(std::uint32_t cell);

    void markUsed(std::uint32_t cell, SlotMask slots, std::uint32_t memoryMiB);
    /// Ends the use of slots that lie in one cell, and unbinds it once unused.
    void release(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB);

    /// The worker gets no new work: takes its cells, which nothing may use any more, out of a
    /// bound rack.
    void workerLost(WorkerId worker);
    /// The worker is back in full service: it joins its rack if that is bound.
    void workerRestored(WorkerId worker);

    std::size_t customerCount() const { return this->customers.size(); }
    /// Cells of the customer that are not bound.
    std::uint32_t unbound(CustomerId customer, CellLevel level) const;
    std::uint32_t bound(CustomerId customer, CellLevel level) const
    {
        return this->customers[customer.value].bound[static_cast<std::size_t>(level)];
    }
    const CellCounts &guarantee(CustomerId customer) const
    {
        return this->customers[customer.value].guarantee;
    }
    /// Grows with every change to the guarantees.
    std::uint64_t revision() const { return this->changes; }
    bool hasGuarantee(CustomerId customer) const;
    const CellCounts &totalUnbound() const { return this->unboundTotal; }
    /// What cannot be cut out of slots outside bound cells.
    CellCounts deficit() const;
    /// The same, cut out of idle slots only.
    CellCounts idleDeficit() const;
    std::vector<Shortfall> shortfalls() const;

    std::optional<std::uint32_t> cellAt(WorkerId worker, unsigned slot) const;
    /// False for a cell of a bound rack that has lost workers.
    bool isComplete(std::uint32_t cell) const;
    const BoundCell &cell(std::uint32_t index) const { return this->cells[index].cell; }
    /// Rows of cells, bound ones and free ones.
    std::uint32_t cellRowCount() const { return static_cast<std::uint32_t>(this->cells.size()); }
    /// MiB that guaranteed jobs in the cell may use together.
    std::uint32_t memoryQuotaMiB(const BoundCell &cell) const;
    std::uint32_t memoryQuotaMiB(WorkerId worker, SlotMask slots) const;

    /// Buckets of bound cells: by the order of the largest unused part, then wholly unused workers
    /// of odd sizes, then cells with nothing unused.
    static constexpr std::size_t bucketCount = cellOrderCount + 2;
    static constexpr std::size_t nonPowerOfTwoBucket = cellOrderCount;
    static constexpr std::size_t fullBucket = cellOrderCount + 1;
    /// The customer's bound cells of one bucket, as a list. `none` ends it.
    static constexpr std::uint32_t noCell = ~std::uint32_t(0);
    std::uint32_t firstInBucket(CustomerId customer, std::size_t bucket) const;
    std::uint32_t nextInBucket(std::uint32_t cell) const { return this->cells[cell].next; }

private:
    struct CellRow
    {
        BoundCell cell;
        std::uint32_t previous = noCell;
        std::uint32_t next = noCell;
        std::uint8_t bucket = 0;
    };

    struct CustomerRow
    {
        CellCounts guarantee{};
        CellCounts bound{};
        std::array<std::uint32_t, bucketCount> buckets{};
    };

    struct RackBinding
    {
        std::uint32_t cells = 0; ///< 0 if the rack isn't bound.
        std::uint32_t usedCells = 0;
        CustomerId customer;
    };

    std::uint32_t addCell(CustomerId customer, CellLevel level, WorkerId worker, SlotMask slots);
    void removeCell(std::uint32_t index);
    void unbindRack(std::uint32_t rack);
    void countBound(CustomerId customer, CellLevel level, bool isBound);
    void addToBucket(std::uint32_t index);
    void removeFromBucket(std::uint32_t index);
    std::uint8_t bucketOf(const BoundCell &cell) const;
    RackBinding &bindingOf(std::uint32_t rack);
    void resizeIndexes();

    FleetTable &fleet;
    std::vector<CustomerRow> customers;
    CellCounts unboundTotal{};
    std::uint64_t changes = 0;
    std::vector<CellRow> cells;
    std::vector<std::uint32_t> freeCells;
    std::vector<std::uint32_t> slotCells; ///< By worker and slot; `none` if unbound.
    std::vector<RackBinding> rackBindings;
};

} // namespace Hibiscus
