#pragma once

#include <Policy/FirstFitScheduler.h>

namespace Hibiscus {

/// Baseline scheduler: weighted fair share between customers by declared work. Ignores urgency;
/// each customer's jobs start in arrival order.
class FairShareScheduler : public FirstFitScheduler
{
public:
    void setCustomers(std::span<const CustomerEntitlement> customers, TimePoint now) override;

protected:
    std::uint32_t laneOf(const QueuedJob &job) const override { return job.customer.value; }
    double rank(std::uint32_t lane) const override { return this->accounts[lane].used; }
    void laneActivated(std::uint32_t lane) override;
    void charge(const QueuedJob &job) override;

private:
    struct Account
    {
        double share = 1.0;
        double used = 0; ///< Declared slot seconds divided by the share.
    };

    std::vector<Account> accounts; ///< By customer.
    double virtualTime = 0; ///< Account of the customer that started a job last, before that start.
};

} // namespace Hibiscus
