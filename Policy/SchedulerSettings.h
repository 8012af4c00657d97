#pragma once

#include <Policy/Reclaimer.h>
#include <Policy/RunTimeModel.h>
#include <Policy/WorkerHealth.h>

namespace Hibiscus {

/// Scheduler settings that operators do not change.
struct SchedulerSettings
{
    Reclaimer::Settings reclaim;
    RunTimeModel::Settings runTimes;
    WorkerHealth::Settings health;

    /// One of this many starts in a class goes to a job that has aged into the class, if one waits.
    std::uint32_t startsPerAgedStart = 8;
    /// A job goes first in its class once its latest start is this near.
    Duration latestStartMargin = seconds(2);
    /// How far a customer may get ahead of its share through near deadlines, as time of all slots.
    Duration maxShareLead = seconds(60);
    /// How long workers may be absent before jobs that need them expire.
    Duration absenceGracePeriod = seconds(60);
    /// Retry delay returned with NotServing.
    Duration closedRetryDelay = seconds(5);
    Duration minRetryDelay = milliseconds(100);
    Duration maxRetryDelay = seconds(600);

    /// A job may be backfilled on reserved workers if this multiple of its expected run time is
    /// left.
    double backfillMargin = 1.5;
    /// Reservations older than this admit no backfill of the same or a less urgent class.
    Duration backfillCutoff = seconds(600);
    /// Borrowers on reserved workers are migrated once the reservation is this old, if they hold at
    /// most `maxMigratedShare` of the slots that the waiting job needs.
    Duration migrationDelay = seconds(30);
    double maxMigratedShare = 0.125;
};

} // namespace Hibiscus
