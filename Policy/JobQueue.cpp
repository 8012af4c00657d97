#include <Policy/JobQueue.h>

#include <cassert>
#include <limits>

namespace Hibiscus {

namespace {

constexpr std::size_t minCompactedSize = 32;

std::size_t at(UrgencyClass urgency)
{
    return static_cast<std::size_t>(urgency);
}

std::size_t at(SizeLane lane)
{
    return static_cast<std::size_t>(lane);
}

} // namespace

SizeLane laneOf(const QueuedJob &job, std::uint32_t memoryPerSlotMiB)
{
    std::uint32_t size = job.accelerators;
    if (memoryPerSlotMiB != 0 && job.memoryMiB > memoryPerSlotMiB)
        size = std::max(size, (job.memoryMiB - 1) / memoryPerSlotMiB + 1);
    if (size == 0)
        return SizeLane::CpuSlot;
    if (size == 1)
        return SizeLane::Slot;
    if (size == 2)
        return SizeLane::Pair;
    if (size <= 4)
        return SizeLane::Quad;
    return job.accelerators <= 8 ? SizeLane::Worker : SizeLane::Gang;
}

void JobQueue::setShares(std::span<const double> newShares)
{
    // Removed customers keep their rows, because jobs of theirs may still wait to expire.
    this->customers.resize(std::max(this->customers.size(), newShares.size()));
    this->shareSum = 0;
    for (std::size_t customer = 0; customer < newShares.size(); ++customer) {
        this->customers[customer].share = std::max(newShares[customer], 1e-6);
        this->shareSum += this->customers[customer].share;
    }
}

bool JobQueue::hasLaterDeadline(const WaitingJob &left, const WaitingJob &right)
{
    return left.deadline != right.deadline ? left.deadline > right.deadline
                                           : left.ticket > right.ticket;
}

bool JobQueue::hasLaterVirtualTime(const CallerQueueKey &left, const CallerQueueKey &right)
{
    return left.virtualTime != right.virtualTime ? left.virtualTime > right.virtualTime
                                                 : left.callerQueue > right.callerQueue;
}

JobQueue::CustomerClass &JobQueue::classOf(CustomerId customer, UrgencyClass urgency)
{
    return this->customers[customer.value].classes[at(urgency)];
}

const JobQueue::CustomerClass &JobQueue::classOf(CustomerId customer, UrgencyClass urgency) const
{
    return this->customers[customer.value].classes[at(urgency)];
}

std::uint32_t JobQueue::accountOf(CustomerId customer, CallerId caller, UrgencyClass urgency)
{
    const std::uint64_t key
        = (std::uint64_t(customer.value) << 40) | (std::uint64_t(at(urgency)) << 32) | caller.value;
    if (const auto found = this->accountIndex.find(key))
        return *found;
    const auto account = static_cast<std::uint32_t>(this->accounts.size());
    this->accounts.emplace_back();
    this->accountIndex.insert(key, account);
    return account;
}

std::uint32_t JobQueue::callerQueueOf(const Entry &entry)
{
    const std::uint32_t account = this->accountOf(entry.customer, entry.caller, entry.urgency);
    const std::uint64_t key = (std::uint64_t(account) << 8) | at(entry.lane);
    if (const auto found = this->callerQueueIndex.find(key))
        return *found;
    const auto callerQueue = static_cast<std::uint32_t>(this->callerQueues.size());
    this->callerQueues.emplace_back();
    this->callerQueues.back().account = account;
    this->callerQueueIndex.insert(key, callerQueue);
    return callerQueue;
}

void JobQueue::push(const Entry &entry)
{
    assert(!this->contains(entry.job));
    if (entry.job >= this->positions.size())
        this->positions.resize(entry.job + 1);
    const std::uint32_t ticket = ++this->lastTicket;
    const std::uint32_t queueIndex = this->callerQueueOf(entry);
    this->positions[entry.job]
        = {ticket, queueIndex, entry.customer, entry.urgency, entry.lane, entry.work};

    CallerQueue &callerQueue = this->callerQueues[queueIndex];
    const TimePoint deadline = entry.deadline.value_or(TimePoint::max());
    callerQueue.heap.push_back({deadline, ticket, entry.job});
    std::push_heap(callerQueue.heap.begin(), callerQueue.heap.end(), hasLaterDeadline);
    ++callerQueue.waitingCount;

    CustomerClass &owner = this->classOf(entry.customer, entry.urgency);
    Lane &lane = owner.lanes[at(entry.lane)];
    ClassRow &row = this->classes[at(entry.urgency)];
    // A customer that was idle starts at the clock, so that it accrues no credit while idle.
    if (owner.waitingCount == 0)
        owner.virtualTime = std::max(owner.virtualTime, row.clock);
    this->addToLane(owner, lane, queueIndex);
    ++lane.waitingCount;
    ++owner.waitingCount;
    ++row.waitingCount;
    owner.mask |= laneBit(entry.lane);
    owner.work += entry.work;
    row.work += entry.work;
    this->pushTimers(entry, ticket);
}

void JobQueue::addToLane(CustomerClass &owner, Lane &lane, std::uint32_t queueIndex)
{
    CallerQueue &callerQueue = this->callerQueues[queueIndex];
    if (callerQueue.isInLane)
        return;
    callerQueue.isInLane = true;
    Account &account = this->accounts[callerQueue.account];
    account.virtualTime = std::max(account.virtualTime, owner.callerClock);
    lane.heap.push_back({account.virtualTime, queueIndex});
    std::push_heap(lane.heap.begin(), lane.heap.end(), hasLaterVirtualTime);
}

void JobQueue::pushTimers(const Entry &entry, std::uint32_t ticket)
{
    ClassRow &row = this->classes[at(entry.urgency)];
    row.bySubmission[at(entry.lane)].add(entry.submitted, entry.job, ticket);
    if (!entry.deadline)
        return;
    row.byLatestStart[at(entry.lane)].add(*entry.deadline - entry.expected, entry.job, ticket);
    this->byInfeasibleTime.add(*entry.deadline - entry.expected / 2, entry.job, ticket);
}

bool JobQueue::contains(std::uint32_t job) const
{
    return job < this->positions.size() && this->positions[job].ticket != 0;
}

void JobQueue::remove(std::uint32_t job)
{
    assert(this->contains(job));
    const QueuePosition position = this->positions[job];
    this->positions[job].ticket = 0;
    CustomerClass &owner = this->classOf(position.customer, position.urgency);
    ClassRow &row = this->classes[at(position.urgency)];
    Lane &lane = owner.lanes[at(position.lane)];
    --this->callerQueues[position.callerQueue].waitingCount;
    --owner.waitingCount;
    --row.waitingCount;
    if (--lane.waitingCount == 0)
        owner.mask &= ~laneBit(position.lane);
    // Floating-point sums drift, so the sum is reset when the queue is empty.
    owner.work = owner.waitingCount == 0 ? 0 : std::max(0.0, owner.work - position.work);
    row.work = row.waitingCount == 0 ? 0 : std::max(0.0, row.work - position.work);
    this->compact(position);
}

void JobQueue::compact(const QueuePosition &position)
{
    CallerQueue &callerQueue = this->callerQueues[position.callerQueue];
    if (callerQueue.heap.size() > 2 * std::size_t(callerQueue.waitingCount) + minCompactedSize) {
        std::erase_if(callerQueue.heap, [this](const WaitingJob &waiting) {
            return this->positions[waiting.job].ticket != waiting.ticket;
        });
        std::make_heap(callerQueue.heap.begin(), callerQueue.heap.end(), hasLaterDeadline);
    }
    const auto isLive = [this](const TimerHeap::Entry &entry) { return this->isLive(entry); };
    ClassRow &row = this->classes[at(position.urgency)];
    row.bySubmission[at(position.lane)].compact(row.waitingCount, isLive);
    row.byLatestStart[at(position.lane)].compact(row.waitingCount, isLive);
    std::size_t waiting = 0;
    for (const ClassRow &each : this->classes)
        waiting += each.waitingCount;
    this->byInfeasibleTime.compact(waiting, isLive);
}

bool JobQueue::isLive(const TimerHeap::Entry &entry) const
{
    return this->positions[entry.job].ticket == entry.ticket;
}

std::optional<JobQueue::Head> JobQueue::headOf(const TimerHeap::Entry &entry) const
{
    const QueuePosition &position = this->positions[entry.job];
    return Head{entry.job, position.customer, position.lane};
}

void JobQueue::dropStale(CallerQueue &callerQueue)
{
    while (this->positions[callerQueue.heap.front().job].ticket
           != callerQueue.heap.front().ticket) {
        std::pop_heap(callerQueue.heap.begin(), callerQueue.heap.end(), hasLaterDeadline);
        callerQueue.heap.pop_back();
    }
}

const JobQueue::CallerQueueKey *JobQueue::front(Lane &lane)
{
    while (!lane.heap.empty()) {
        CallerQueueKey &key = lane.heap.front();
        CallerQueue &callerQueue = this->callerQueues[key.callerQueue];
        const double virtualTime = this->accounts[callerQueue.account].virtualTime;
        if (callerQueue.waitingCount != 0 && virtualTime <= key.virtualTime)
            return &key;
        // Virtual times only grow, so an outdated key can only be too far in front.
        std::pop_heap(lane.heap.begin(), lane.heap.end(), hasLaterVirtualTime);
        if (callerQueue.waitingCount == 0) {
            callerQueue.isInLane = false;
            callerQueue.heap.clear();
            lane.heap.pop_back();
            continue;
        }
        lane.heap.back().virtualTime = virtualTime;
        std::push_heap(lane.heap.begin(), lane.heap.end(), hasLaterVirtualTime);
    }
    return nullptr;
}

std::optional<JobQueue::Head> JobQueue::nextOf(CustomerId customer, UrgencyClass urgency,
                                               LaneMask lanes)
{
    CustomerClass &owner = this->classOf(customer, urgency);
    const CallerQueueKey *best = nullptr;
    const WaitingJob *bestHead = nullptr;
    SizeLane bestLane = SizeLane::CpuSlot;
    for (std::size_t index = 0; index < sizeLaneCount; ++index) {
        const auto lane = static_cast<SizeLane>(index);
        if ((owner.mask & lanes & laneBit(lane)) == 0)
            continue;
        const CallerQueueKey *key = this->front(owner.lanes[index]);
        assert(key != nullptr);
        CallerQueue &callerQueue = this->callerQueues[key->callerQueue];
        this->dropStale(callerQueue);
        const WaitingJob *head = &callerQueue.heap.front();
        // The lanes of one caller share an account, so ties are common. The earlier deadline breaks
        // them.
        const bool goesFirst = best == nullptr || key->virtualTime < best->virtualTime
            || (key->virtualTime == best->virtualTime && hasLaterDeadline(*bestHead, *head));
        if (!goesFirst)
            continue;
        best = key;
        bestHead = head;
        bestLane = lane;
    }
    if (best == nullptr)
        return std::nullopt;
    return Head{bestHead->job, customer, bestLane};
}

std::optional<JobQueue::Head> JobQueue::next(UrgencyClass urgency, LaneMask blocked,
                                             std::span<const LaneMask> failed)
{
    if (this->classes[at(urgency)].waitingCount == 0)
        return std::nullopt;
    std::size_t best = this->customers.size();
    double least = std::numeric_limits<double>::infinity();
    for (std::size_t customer = 0; customer < this->customers.size(); ++customer) {
        const CustomerClass &owner = this->customers[customer].classes[at(urgency)];
        const LaneMask open = owner.mask & ~blocked & ~failed[customer];
        if (open == 0 || owner.virtualTime >= least)
            continue;
        least = owner.virtualTime;
        best = customer;
    }
    if (best == this->customers.size())
        return std::nullopt;
    const LaneMask lanes = allLanes & ~blocked & ~failed[best];
    return this->nextOf({static_cast<std::uint16_t>(best)}, urgency, lanes);
}

std::optional<JobQueue::Head> JobQueue::oldest(UrgencyClass urgency, SizeLane lane,
                                               TimePoint submittedUntil)
{
    const auto top = this->classes[at(urgency)].bySubmission[at(lane)].top(
        [this](const TimerHeap::Entry &entry) { return this->isLive(entry); });
    if (!top || top->when > submittedUntil)
        return std::nullopt;
    return this->headOf(*top);
}

std::optional<JobQueue::Head> JobQueue::earliestLatestStart(UrgencyClass urgency, SizeLane lane,
                                                            TimePoint due)
{
    const auto top = this->classes[at(urgency)].byLatestStart[at(lane)].top(
        [this](const TimerHeap::Entry &entry) { return this->isLive(entry); });
    if (!top || top->when > due)
        return std::nullopt;
    return this->headOf(*top);
}

std::optional<std::uint32_t> JobQueue::firstInfeasible(TimePoint now)
{
    const auto top = this->byInfeasibleTime.top(
        [this](const TimerHeap::Entry &entry) { return this->isLive(entry); });
    if (!top || top->when >= now)
        return std::nullopt;
    return top->job;
}

std::optional<TimePoint> JobQueue::nextInfeasibleTime()
{
    const auto top = this->byInfeasibleTime.top(
        [this](const TimerHeap::Entry &entry) { return this->isLive(entry); });
    if (!top)
        return std::nullopt;
    return top->when + Duration(1);
}

void JobQueue::chargeCustomer(CustomerId customer, UrgencyClass urgency, double work)
{
    CustomerClass &owner = this->classOf(customer, urgency);
    ClassRow &row = this->classes[at(urgency)];
    row.clock = std::max(row.clock, owner.virtualTime);
    const double corrected = std::max(0.0, work + owner.correction);
    owner.correction += work - corrected;
    owner.virtualTime += corrected / this->customers[customer.value].share;
}

void JobQueue::chargeCaller(CustomerId customer, CallerId caller, UrgencyClass urgency, double work)
{
    CustomerClass &owner = this->classOf(customer, urgency);
    Account &account = this->accounts[this->accountOf(customer, caller, urgency)];
    owner.callerClock = std::max(owner.callerClock, account.virtualTime);
    const double corrected = std::max(0.0, work + account.correction);
    account.correction += work - corrected;
    account.virtualTime += corrected;
}

void JobQueue::correctCharge(CustomerId customer, CallerId caller, UrgencyClass urgency,
                             bool ofCustomer, double work)
{
    if (ofCustomer)
        this->classOf(customer, urgency).correction += work;
    this->accounts[this->accountOf(customer, caller, urgency)].correction += work;
}

double JobQueue::lead(CustomerId customer, UrgencyClass urgency) const
{
    return this->classOf(customer, urgency).virtualTime - this->classes[at(urgency)].clock;
}

std::uint32_t JobQueue::queued(UrgencyClass urgency) const
{
    return this->classes[at(urgency)].waitingCount;
}

std::uint32_t JobQueue::queued(CustomerId customer, UrgencyClass urgency) const
{
    return this->classOf(customer, urgency).waitingCount;
}

LaneMask JobQueue::lanes(CustomerId customer, UrgencyClass urgency) const
{
    return this->classOf(customer, urgency).mask;
}

double JobQueue::work(CustomerId customer, UrgencyClass urgency) const
{
    return this->classOf(customer, urgency).work;
}

double JobQueue::work(UrgencyClass urgency) const
{
    return this->classes[at(urgency)].work;
}

double JobQueue::activeShares(UrgencyClass urgency) const
{
    double sum = 0;
    for (const CustomerRow &customer : this->customers) {
        bool isActive = false;
        for (std::size_t index = 0; index <= at(urgency); ++index)
            isActive |= customer.classes[index].waitingCount != 0;
        sum += isActive ? customer.share : 0;
    }
    return sum;
}

} // namespace Hibiscus
