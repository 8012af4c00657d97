#pragma once

#include <Policy/Reclaimer.h>
#include <Policy/RunTimeModel.h>
#include <Policy/WorkerHealth.h>

namespace Hibiscus {

/// Settings of the decisions that no operator changes.
struct SchedulerSettings
{
    Reclaimer::Settings reclaim;
    RunTimeModel::Settings runTimes;
    WorkerHealth::Settings health;

    /// Of this many starts of a class one goes to a job that has aged into it, if one waits.
    std::uint32_t startsPerAgedStart = 8;
    /// A job goes first in its class once its latest start is this near.
    Duration latestStartMargin = seconds(2);
    /// How far, in time of all slots, a customer may get ahead of its share by pressing deadlines.
    Duration maxShareLead = seconds(60);
    /// Workers may be gone this long before jobs that need them expire.
    Duration absenceGracePeriod = seconds(60);
    /// Told with NotServing.
    Duration closedRetryDelay = seconds(5);
    Duration minRetryDelay = milliseconds(100);
    Duration maxRetryDelay = seconds(600);

    /// Short jobs may use reserved workers if this many times their expected run time is left.
    double backfillMargin = 1.5;
    /// After so long a wait nothing starts on reserved workers any more.
    Duration backfillCutoff = seconds(600);
    /// Borrowers on reserved workers are moved after so long a wait, if they hold at most
    /// `movedShare` of the slots that wait for them.
    Duration migrationDelay = seconds(30);
    double maxMigratedShare = 0.125;
};

} // namespace Hibiscus
