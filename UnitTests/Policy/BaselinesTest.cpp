#include <Policy/FairShareScheduler.h>
#include <Policy/FifoScheduler.h>
#include <Policy/PriorityScheduler.h>

#include <gtest/gtest.h>

namespace Hibiscus {

namespace {

constexpr TimePoint now{seconds(1000)};

/// One worker with two slots and two customers; the second customer has three times the share of
/// the first.
template <class Kind>
class OneWorker
{
public:
    OneWorker()
    {
        const std::vector<Scheduler::CustomerEntitlement> entitlements{{.share = 1}, {.share = 3}};
        this->scheduler.setCustomers(entitlements, now);
        this->scheduler.setPreset(Preset{.name = "ordinary"}, false, now);
        this->scheduler.workerUp({0}, {.slots = 2, .accelerators = 2}, now);
    }

    void submit(std::uint64_t job, std::uint16_t customer, UrgencyClass urgency,
                std::uint16_t accelerators = 2)
    {
        QueuedJob spec;
        spec.job = {job};
        spec.customer = {customer};
        spec.urgency = urgency;
        spec.accelerators = accelerators;
        spec.declaredRunTime = seconds(10);
        EXPECT_TRUE(this->scheduler.submit(spec, now).isAccepted());
    }

    /// Returns the jobs in the order in which they start. Each job ends before the next decision.
    std::vector<std::uint64_t> startOrder()
    {
        std::vector<std::uint64_t> order;
        std::vector<Decision> decisions;
        this->scheduler.decide(now, decisions);
        while (!decisions.empty()) {
            for (const Decision &decision : decisions) {
                order.push_back(decision.job.value);
                this->scheduler.jobEnded(decision.job, EndKind::Finished, std::nullopt, false, now);
            }
            decisions.clear();
            this->scheduler.decide(now, decisions);
        }
        return order;
    }

    Kind scheduler;
};

using Order = std::vector<std::uint64_t>;

} // namespace

TEST(BaselineSchedulers, fifoKeepsArrivalOrderBehindAJobThatDoesNotFit)
{
    OneWorker<FifoScheduler> fifo;
    fifo.submit(1, 0, UrgencyClass::Background, 1);
    fifo.submit(2, 0, UrgencyClass::Background, 2);
    fifo.submit(3, 1, UrgencyClass::Urgent, 1);
    fifo.submit(4, 1, UrgencyClass::Urgent, 1);
    EXPECT_TRUE(fifo.scheduler.cancel({4}, now));
    std::vector<Decision> decisions;
    fifo.scheduler.decide(now, decisions);
    ASSERT_EQ(decisions.size(), 1U) << "the second job blocks the queue although one slot is free";
    fifo.scheduler.jobEnded({1}, EndKind::WorkerFault, std::nullopt, true, now);
    EXPECT_EQ(fifo.startOrder(), (Order{1, 2, 3})) << "the requeued job keeps its position";
}

TEST(BaselineSchedulers, priorityStartsUrgentWorkFirst)
{
    OneWorker<PriorityScheduler> priority;
    priority.submit(1, 0, UrgencyClass::Background);
    priority.submit(2, 0, UrgencyClass::Standard);
    priority.submit(3, 1, UrgencyClass::Urgent);
    priority.submit(4, 0, UrgencyClass::Urgent);
    EXPECT_EQ(priority.startOrder(), (Order{3, 4, 2, 1}));
}

TEST(BaselineSchedulers, fairShareServesCustomersByTheirSharesWhateverTheUrgency)
{
    OneWorker<FairShareScheduler> fair;
    for (std::uint64_t job = 1; job <= 4; ++job)
        fair.submit(job, 0, UrgencyClass::Urgent);
    for (std::uint64_t job = 11; job <= 16; ++job)
        fair.submit(job, 1, UrgencyClass::Background);
    EXPECT_EQ(fair.startOrder(), (Order{1, 11, 12, 13, 2, 14, 15, 16, 3, 4}));
}

} // namespace Hibiscus
