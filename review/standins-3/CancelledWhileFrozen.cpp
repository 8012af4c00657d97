#include "Scenes.h"

#include <csignal>
#include <thread>

namespace Scene {

using nlohmann::json;

/// A client hands a job in at a node that freezes, gets no answer within its deadline, and cancels
/// the job at another node.
Verdict cancelledWhileFrozen()
{
    constexpr std::int64_t frozenMs = 4000;
    constexpr std::int64_t workMs = 9000;
    constexpr std::int64_t watchMs = 35'000;
    const std::string first = "/queue-a/00000000000000a1";
    const std::string job = "00000000000000b2";
    const std::string path = "/queue-a/" + job;
    const json steps
        = {{{"count", 2}, {"cpu", 2000}, {"memMb", 1024}, {"estimateMs", 9000}},
           {{"count", 2}, {"cpu", 2000}, {"memMb", 1024}, {"estimateMs", 9000}, {"after", {0}}}};
    Deployment &site = Deployment::make({{"r-a", "/queue-a/", 1, false}});
    for (const char *id : {"i-0001", "i-0002"})
        site.addWorker(id, "r1-1", {});
    site.startNodes(3);
    const int leading = site.leader();
    const int frozen = (leading + 1) % 3;
    const int sound = (leading + 2) % 3;
    const bool works = site.client(sound, "POST", first, Deployment::key,
                                   jobOf(200, {{{"count", 1}, {"cpu", 1000}, {"memMb", 512}}}))
                           .status
            == 200
        && site.awaitState(sound, first, Deployment::key, "completed", 8000);
    if (!works) {
        note("a job in calm is not completed");
        return NotRun;
    }
    sleepMs(stableWindowMs);

    if (hasTrouble())
        site.signalNode(frozen, SIGSTOP);
    std::thread thaw([&site, frozen] {
        sleepMs(frozenMs);
        if (hasTrouble())
            site.signalNode(frozen, SIGCONT);
    });
    site.client(frozen, "POST", path, Deployment::key, jobOf(workMs, steps));
    const Response cancelled = site.client(sound, "DELETE", path, Deployment::key);
    const std::int64_t cancelledAt = nowMs();
    thaw.join();
    if (cancelled.status != 410 && cancelled.status / 100 != 2) {
        note("the cancelling was not acknowledged");
        return NotRun;
    }
    sleepMs(watchMs - (nowMs() - cancelledAt));
    site.stateOf(sound, path, Deployment::key);

    int lateStarts = 0;
    std::int64_t ranUntil = 0;
    for (const SeenRun &run : site.runsOf(job)) {
        if (run.beganAt > cancelledAt + cancelMs)
            lateStarts++;
        ranUntil = std::max(ranUntil, run.endedAt == 0 ? nowMs() : run.endedAt);
    }
    return conclude(lateStarts > 0,
                    std::to_string(lateStarts) + " tasks of the job were started later than "
                        + std::to_string(cancelMs) + " ms after its cancelling was answered with "
                        + std::to_string(cancelled.status) + "; its last task ran until "
                        + std::to_string(ranUntil == 0 ? 0 : ranUntil - cancelledAt)
                        + " ms after that answer");
}

} // namespace Scene
