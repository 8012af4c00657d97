#pragma once

#include <Policy/FirstFitScheduler.h>

namespace Hibiscus {

/// Baseline: plain weighted fair share between customers by declared work; urgency counts for
/// nothing, and inside a customer the order of arrival holds. Use it to compare against.
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
        double used = 0; ///< Slot seconds over share.
    };

    std::vector<Account> accounts; ///< By customer.
    double virtualTime = 0; ///< Account of the customer that started last, before that start.
};

} // namespace Hibiscus
