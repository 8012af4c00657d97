#pragma once

#include "SchedulerDriver.h"

namespace Hibiscus {

/// Reference implementation of the guarantee deficit: counts the unbound cells that cannot be cut
/// out of slots that are neither in a bound cell nor pinned, by taking cells one by one from a grid
/// of slots.
class GuaranteeChecker
{
public:
    explicit GuaranteeChecker(const SchedulerDriver &driver)
        : driver(driver)
    {}

    CellCounts deficit()
    {
        this->rebuildGrid();
        CellCounts need = this->unboundNeed();
        CellCounts missing{};
        for (std::size_t level = cellLevelCount; level-- > 0;) {
            for (std::uint32_t index = 0; index < need[level]; ++index)
                missing[level] += !this->takeCell(static_cast<CellLevel>(level));
        }
        return missing;
    }

    /// Checks that no customer has more cells bound than guaranteed, and that bound cells and the
    /// jobs charged to them agree slot by slot.
    void checkCells() const
    {
        const SchedulerState &state = this->driver.scheduler.currentState();
        std::map<std::uint32_t, SlotMask> charged;
        for (std::uint32_t job = 0; job < state.jobs.rowCount(); ++job) {
            const JobRow &row = state.jobs.row(job);
            if (row.phase == JobPhase::Free || !row.isGuaranteed)
                continue;
            for (const Placement &part : state.jobs.placements(job)) {
                EXPECT_EQ(charged[part.worker.value] & part.slots, 0U);
                charged[part.worker.value] |= part.slots;
                const auto cell = state.bindings.cellAt(part.worker, std::countr_zero(part.slots));
                ASSERT_TRUE(cell.has_value());
                EXPECT_EQ(state.bindings.cell(*cell).customer, row.spec.customer);
            }
        }
        this->checkGauges();
        std::map<std::uint32_t, SlotMask> used;
        for (std::uint32_t index = 0; index < state.bindings.cellRowCount(); ++index) {
            const BoundCell &cell = state.bindings.cell(index);
            if (cell.isBound)
                used[cell.worker.value] |= cell.used;
        }
        for (const auto &[worker, slots] : charged)
            EXPECT_EQ(used[worker], slots);
        for (std::size_t customer = 0; customer < state.bindings.customerCount(); ++customer) {
            const CustomerId id{static_cast<std::uint16_t>(customer)};
            for (std::size_t level = 0; level < cellLevelCount; ++level)
                EXPECT_LE(state.bindings.bound(id, static_cast<CellLevel>(level)),
                          state.bindings.guarantee(id)[level]);
        }
    }

private:
    void checkGauges() const
    {
        const SchedulerState &state = this->driver.scheduler.currentState();
        const SchedulerGauges gauges = this->driver.scheduler.gauges();
        std::uint32_t running = 0;
        std::uint32_t lent = 0;
        for (std::uint32_t job = 0; job < state.jobs.rowCount(); ++job) {
            const JobRow &row = state.jobs.row(job);
            if (row.phase == JobPhase::Free || !row.holdsCells())
                continue;
            ++running;
            lent += row.isGuaranteed ? 0 : row.slots();
        }
        EXPECT_EQ(gauges.running[0] + gauges.running[1] + gauges.running[2], running);
        EXPECT_EQ(gauges.lentSlots, lent);
        EXPECT_EQ(gauges.queued[0] + gauges.queued[1] + gauges.queued[2],
                  this->driver.waiting.size());
    }

    void rebuildGrid()
    {
        const SchedulerState &state = this->driver.scheduler.currentState();
        this->open.assign(state.fleet.workerCount(), 0);
        this->slots.assign(state.fleet.workerCount(), 0);
        this->racks.clear();
        for (std::uint32_t worker = 0; worker < state.fleet.workerCount(); ++worker) {
            const WorkerRow &row = state.fleet.row({worker});
            if (row.service != ServiceLevel::Full || row.pool != state.fleet.guaranteePool())
                continue;
            this->slots[worker] = row.slots;
            this->open[worker] = row.full();
            this->racks[row.rack].push_back(worker);
        }
        for (std::uint32_t index = 0; index < state.bindings.cellRowCount(); ++index) {
            const BoundCell &cell = state.bindings.cell(index);
            if (cell.isBound)
                this->open[cell.worker.value] &= ~cell.slots;
        }
        for (std::uint32_t job = 0; job < state.jobs.rowCount(); ++job) {
            const JobRow &row = state.jobs.row(job);
            if (!row.holdsCells() || row.isGuaranteed || row.spec.isPreemptible)
                continue;
            // Pinned jobs block their slots and as many further slots as correspond to their
            // memory.
            for (const Placement &part : state.jobs.placements(job)) {
                const WorkerRow &worker = state.fleet.row(part.worker);
                EXPECT_EQ(part.slots & ~worker.pinned, 0U) << "job " << row.spec.job.value;
                this->open[part.worker.value] &= ~worker.pinned;
            }
        }
    }

    CellCounts unboundNeed() const
    {
        const SchedulerState &state = this->driver.scheduler.currentState();
        CellCounts need{};
        for (std::size_t customer = 0; customer < state.bindings.customerCount(); ++customer) {
            const CustomerId id{static_cast<std::uint16_t>(customer)};
            for (std::size_t level = 0; level < cellLevelCount; ++level)
                need[level] += state.bindings.guarantee(id)[level]
                    - state.bindings.bound(id, static_cast<CellLevel>(level));
        }
        return need;
    }

    bool isWhole(std::uint32_t worker) const
    {
        const CellShape &shape = this->driver.scheduler.currentState().fleet.shape();
        return this->slots[worker] == shape.workerSlots
            && this->open[worker] == lowSlots(shape.workerSlots);
    }

    bool takeCell(CellLevel level)
    {
        const CellShape &shape = this->driver.scheduler.currentState().fleet.shape();
        if (level == CellLevel::Rack) {
            for (const auto &[rack, workers] : this->racks) {
                std::uint32_t whole = 0;
                for (const std::uint32_t worker : workers)
                    whole += this->isWhole(worker);
                if (whole < shape.rackWorkers)
                    continue;
                for (const std::uint32_t worker : workers)
                    this->open[worker] = this->isWhole(worker) ? 0 : this->open[worker];
                return true;
            }
            return false;
        }
        for (std::uint32_t worker = 0; worker < this->open.size(); ++worker) {
            if (level == CellLevel::Worker) {
                if (!this->isWhole(worker))
                    continue;
                this->open[worker] = 0;
                return true;
            }
            const unsigned size = 1U << static_cast<unsigned>(level);
            for (unsigned first = 0; first + size <= maxSlots; first += size) {
                const SlotMask cell = lowSlots(size) << first;
                if ((this->open[worker] & cell) != cell)
                    continue;
                this->open[worker] &= ~cell;
                return true;
            }
        }
        return false;
    }

    const SchedulerDriver &driver;
    std::vector<SlotMask> open;
    std::vector<std::uint16_t> slots;
    std::map<std::uint32_t, std::vector<std::uint32_t>> racks;
};

} // namespace Hibiscus
