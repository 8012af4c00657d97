#include <Policy/FairShareScheduler.h>

#include <algorithm>

namespace Hibiscus {

void FairShareScheduler::setCustomers(std::span<const CustomerEntitlement> customers, TimePoint now)
{
    FirstFitScheduler::setCustomers(customers, now);
    this->accounts.resize(std::max(customers.size(), this->accounts.size()));
    for (std::size_t index = 0; index < customers.size(); ++index)
        this->accounts[index].share = customers[index].share;
}

void FairShareScheduler::laneActivated(std::uint32_t lane)
{
    // An idle customer accrues no credit against the others.
    Account &account = this->accounts[lane];
    account.used = std::max(account.used, this->virtualTime);
}

void FairShareScheduler::charge(const QueuedJob &job)
{
    Account &account = this->accounts[job.customer.value];
    this->virtualTime = std::max(this->virtualTime, account.used);
    const double slots = std::max<std::uint16_t>(job.accelerators, 1);
    const double time = std::chrono::duration<double>(job.declaredRunTime).count();
    account.used += slots * time / account.share;
}

} // namespace Hibiscus
