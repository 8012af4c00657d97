#include "EventSimulation.h"

#include <random>

namespace Hibiscus {

namespace {

constexpr Duration span = seconds(3600);
constexpr std::uint32_t fleetSlots = 400;

Preset floodPreset()
{
    Preset preset{.name = "ordinary"};
    preset.classes[0].keptShare = 0.15;
    preset.classes[1].keptShare = 0.40;
    preset.classes[2].keptShare = 0.25;
    for (ClassLimits &limits : preset.classes)
        limits.queuedPerCustomer = 2000;
    return preset;
}

/// A typical mix of urgent recalculations, standard analyses and background planning that fills
/// about two thirds of the fleet, optionally with a flood of one class by another customer.
class Workload
{
public:
    explicit Workload(std::optional<UrgencyClass> flood)
    {
        this->driver.addWorkers(50);
        this->driver.setCustomers({{}, {}, {}, {}});
        this->driver.scheduler.setPreset(floodPreset(), false, this->driver.now);
        this->begin = this->driver.now;
        this->addClass(UrgencyClass::Urgent, 8.0, seconds(4), 1);
        this->addClass(UrgencyClass::Standard, 2.0, seconds(60), 1);
        this->addClass(UrgencyClass::Background, 0.08, seconds(600), 2);
        if (flood)
            this->addFlood(*flood);
        this->run.runUntil(this->begin + span + seconds(3600));
    }

    bool isBaseLoad(const EventSimulation::Outcome &outcome, UrgencyClass urgency) const
    {
        return outcome.spec.urgency == urgency && outcome.spec.customer != floodCustomer;
    }

    std::size_t finished(UrgencyClass urgency) const
    {
        return this->run.finished([&](const EventSimulation::Outcome &outcome) {
            return this->isBaseLoad(outcome, urgency);
        });
    }

    /// Quantile of the time from submission to the end, in seconds.
    double completion(UrgencyClass urgency, double quantile) const
    {
        std::vector<double> values;
        for (const auto &[job, outcome] : this->run.outcomes) {
            if (this->isBaseLoad(outcome, urgency) && outcome.finished)
                values.push_back(
                    std::chrono::duration<double>(*outcome.finished - outcome.submitted).count());
        }
        std::sort(values.begin(), values.end());
        return values.at(static_cast<std::size_t>(quantile * double(values.size() - 1)));
    }

    double urgentWait(double quantile) const
    {
        const auto waits = this->run.waits([&](const EventSimulation::Outcome &outcome) {
            return this->isBaseLoad(outcome, UrgencyClass::Urgent);
        });
        return waits.at(static_cast<std::size_t>(quantile * double(waits.size() - 1)));
    }

    static constexpr CustomerId floodCustomer{3};

    SchedulerDriver driver;
    EventSimulation run{this->driver};

private:
    void addClass(UrgencyClass urgency, double perSecond, Duration mean, std::uint16_t accelerators)
    {
        std::exponential_distribution<double> gap(perSecond);
        std::uniform_real_distribution<double> factor(0.5, 1.5);
        double at = 0;
        const double end = std::chrono::duration<double>(span).count();
        for (at += gap(this->random); at < end; at += gap(this->random)) {
            QueuedJob spec
                = this->driver.job(static_cast<std::uint16_t>(this->random() % 3), accelerators);
            spec.urgency = urgency;
            spec.declaredRunTime = mean;
            const auto runTime = std::chrono::duration_cast<Duration>(mean * factor(this->random));
            this->run.add(this->at(at), spec, runTime);
        }
    }

    /// Submits ten times as many jobs as the fleet has slots, over ten minutes.
    void addFlood(UrgencyClass urgency)
    {
        constexpr double length = 600;
        for (std::uint32_t index = 0; index < fleetSlots * 10; ++index) {
            QueuedJob spec = this->driver.job(floodCustomer.value, 1);
            spec.urgency = urgency;
            spec.declaredRunTime = seconds(120);
            this->run.add(this->at(600 + length * index / (fleetSlots * 10)), spec, seconds(120));
        }
    }

    TimePoint at(double secondsFromBegin) const
    {
        return this->begin
            + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(secondsFromBegin));
    }

    TimePoint begin;
    std::mt19937_64 random{7};
};

constexpr double minFinishedShare = 0.95;
constexpr double maxSlowdown = 1.25;
constexpr double maxUrgentWaitSeconds = 0.25;

void expectOtherClassesKeepTheirService(UrgencyClass flood)
{
    const Workload baseLoad(std::nullopt);
    const Workload flooded(flood);
    for (const UrgencyClass urgency :
         {UrgencyClass::Urgent, UrgencyClass::Standard, UrgencyClass::Background}) {
        if (urgency == flood)
            continue;
        SCOPED_TRACE(toString(urgency));
        EXPECT_GE(double(flooded.finished(urgency)),
                  minFinishedShare * double(baseLoad.finished(urgency)));
        EXPECT_LE(flooded.completion(urgency, 0.99),
                  maxSlowdown * baseLoad.completion(urgency, 0.99));
    }
    EXPECT_TRUE(flood == UrgencyClass::Urgent || flooded.urgentWait(0.99) < maxUrgentWaitSeconds);
}

} // namespace

TEST(Flood, ofBackgroundWorkKeepsTheServiceOfOtherClasses)
{
    expectOtherClassesKeepTheirService(UrgencyClass::Background);
}

TEST(Flood, ofStandardWorkKeepsTheServiceOfOtherClasses)
{
    expectOtherClassesKeepTheirService(UrgencyClass::Standard);
}

TEST(Flood, ofUrgentWorkKeepsTheServiceOfOtherClasses)
{
    expectOtherClassesKeepTheirService(UrgencyClass::Urgent);
}

TEST(Flood, isRefusedEarlyWithAUsefulRetryDelayAndKeepsNoState)
{
    SchedulerDriver driver;
    driver.addWorkers(2);
    driver.setCustomers({{}, {}});
    Preset preset = SchedulerDriver::unlimitedPreset();
    preset.classes[1].queuedPerCustomer = 40;
    driver.scheduler.setPreset(preset, false, driver.now);
    std::uint32_t refused = 0;
    for (int index = 0; index < 100; ++index) {
        const Admission answer = driver.submit(driver.job(0, 1));
        if (answer.isAccepted())
            continue;
        ++refused;
        EXPECT_EQ(answer.refusal, RefusalReason::QueueFull);
        ASSERT_TRUE(answer.retryAfter.has_value());
        EXPECT_GE(*answer.retryAfter, milliseconds(100));
        EXPECT_LE(*answer.retryAfter, seconds(150)) << "the whole queue takes 150 s";
    }
    EXPECT_EQ(refused, 60U);
    EXPECT_TRUE(driver.submit(driver.job(1, 1)).isAccepted()) << "the limit applies per customer";
    QueuedJob late = driver.job(0, 1);
    late.urgency = UrgencyClass::Background;
    late.deadline = driver.now + seconds(70);
    const Admission answer = driver.submit(late);
    EXPECT_EQ(answer.refusal, RefusalReason::DeadlineUnreachable);
    EXPECT_TRUE(answer.retryAfter.has_value());
    EXPECT_EQ(driver.scheduler.currentState().jobs.jobCount(), 41U);
}

} // namespace Hibiscus
