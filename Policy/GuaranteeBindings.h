#pragma once

#include <Fleet/FleetTable.h>
#include <Policy/Scheduler.h>

#include <array>
#include <optional>
#include <span>
#include <vector>

namespace Hibiscus {

/// A cell of a customer's guarantee, bound to slots while a guaranteed job uses some of them. A
/// bound rack consists of one cell per worker, all of which belong to the same rack binding.
struct BoundCell
{
    CustomerId customer;
    CellLevel level = CellLevel::Slot;
    bool isBound = false;
    WorkerId worker;
    SlotMask slots = 0;
    SlotMask used = 0; ///< Slots used by guaranteed jobs, started or claiming.
    std::uint32_t usedMemoryMiB = 0;

    SlotMask unused() const { return this->slots & ~this->used; }
};

/// Records which cells of the customers' guarantees are bound to which slots.
///
/// The invariant: the unbound cells of all customers can be cut, all at the same time, out of the
/// slots that are neither in a bound cell nor pinned. These slots are idle or lent, so every
/// guarantee can be met by preempting borrowers. `tryBind` and `tryBindRack` refuse any binding
/// that would violate the invariant. Only worker failures can violate it; `shortfalls` then reports
/// the affected customers.
class GuaranteeBindings
{
public:
    explicit GuaranteeBindings(FleetTable &fleet)
        : fleet(fleet)
    {}

    /// Sets the guarantees, ordered by customer id. Call `excessCell` afterwards.
    void setGuarantees(std::span<const CellCounts> newGuarantees);
    /// A bound cell of the customer that exceeds its guarantee, if there is one.
    std::optional<std::uint32_t> excessCell(CustomerId customer) const;

    /// Binds one cell of a level below Rack. Fails and changes nothing if the customer has no
    /// unbound cell of that level, or if fewer of the unbound cells could be cut out afterwards.
    std::optional<std::uint32_t> tryBind(CustomerId customer, CellLevel level, WorkerId worker,
                                         SlotMask slots);
    /// Binds a whole rack under the same conditions as `tryBind`. `cellAt` finds its cells.
    bool tryBindRack(CustomerId customer, std::uint32_t rack);
    /// Unbinds the cell if it is unused. The cells of a rack are unbound only together.
    void unbindIfUnused(std::uint32_t cell);

    void markUsed(std::uint32_t cell, SlotMask slots, std::uint32_t memoryMiB);
    /// Ends the use of slots of one cell, and unbinds the cell once it is unused.
    void release(WorkerId worker, SlotMask slots, std::uint32_t memoryMiB);

    /// The worker no longer receives new work: removes its cells, which must be unused, from a
    /// bound rack.
    void workerLost(WorkerId worker);
    /// The worker is back in full service: adds it to its rack's binding if the rack is bound.
    void workerRestored(WorkerId worker);

    std::size_t customerCount() const { return this->customers.size(); }
    /// The customer's unbound cells of that level.
    std::uint32_t unbound(CustomerId customer, CellLevel level) const;
    std::uint32_t bound(CustomerId customer, CellLevel level) const
    {
        return this->customers[customer.value].bound[static_cast<std::size_t>(level)];
    }
    const CellCounts &guarantee(CustomerId customer) const
    {
        return this->customers[customer.value].guarantee;
    }
    /// Increases with every change to the guarantees.
    std::uint64_t revision() const { return this->changes; }
    bool hasGuarantee(CustomerId customer) const;
    const CellCounts &totalUnbound() const { return this->unboundTotal; }
    /// Unbound cells that cannot be cut out of the reclaimable slots.
    CellCounts deficit() const;
    /// Unbound cells that cannot be cut out of idle reclaimable slots.
    CellCounts idleDeficit() const;
    std::vector<Shortfall> shortfalls() const;

    std::optional<std::uint32_t> cellAt(WorkerId worker, unsigned slot) const;
    /// False for a cell of a bound rack that has lost workers.
    bool isComplete(std::uint32_t cell) const;
    const BoundCell &cell(std::uint32_t index) const { return this->cells[index].cell; }
    /// Number of cell rows, including free ones.
    std::uint32_t cellRowCount() const { return static_cast<std::uint32_t>(this->cells.size()); }
    /// Memory that guaranteed jobs in the cell may use together, in MiB.
    std::uint32_t memoryQuotaMiB(const BoundCell &cell) const;
    std::uint32_t memoryQuotaMiB(WorkerId worker, SlotMask slots) const;

    /// Buckets of bound cells: one per order of the largest unused aligned cell, then wholly unused
    /// workers whose slot count is not a power of two, then fully used cells.
    static constexpr std::size_t bucketCount = cellOrderCount + 2;
    static constexpr std::size_t nonPowerOfTwoBucket = cellOrderCount;
    static constexpr std::size_t fullBucket = cellOrderCount + 1;
    /// First of the customer's bound cells in one bucket, a linked list that ends with `noCell`.
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
        std::uint32_t cells = 0; ///< 0 if the rack is not bound.
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
    std::vector<std::uint32_t> slotCells; ///< By worker and slot; `noCell` if unbound.
    std::vector<RackBinding> rackBindings;
};

} // namespace Hibiscus
