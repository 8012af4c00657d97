#pragma once

#include <Sessions/SimulatedCluster.h>

#include <cstdint>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace Hibiscus {

/// One seeded random history of callers' requests, operators' changes and failures in a simulated
/// cluster, with checks of the scheduler's guarantees. The same seed gives the same history.
class History
{
public:
    struct Settings
    {
        std::uint64_t seed = 0;
        unsigned steps = 30;
        bool trace = false; ///< Prints every message.
    };

    explicit History(const Settings &settings);

    /// Runs the history, heals all failures, and repeats every request until it has a final answer.
    void run();

    /// Descriptions of the violated guarantees; empty if there are none.
    const std::vector<std::string> &violations() const { return this->violationTexts; }

private:
    struct Request
    {
        JobSpec spec;
        bool wait = false;
        bool cancelled = false;
        std::vector<CallId> calls; ///< Calls without an answer so far.
        std::vector<TimePoint> sent; ///< When each submission was made.
        /// Latest final answer that does not ask for a retry.
        std::optional<JobAnswer> finalAnswer;
        std::optional<TimePoint> notRunSince; ///< When a NotRun answer without a retry delay came.
        std::uint32_t members = 1;
    };
    using Step = void (History::*)();

    std::uint32_t draw(std::uint32_t bound);
    template <class Range>
    const auto &pick(const Range &range);
    std::string anyInstance();
    std::string anyLiveInstance();
    std::string anyWorker();

    void stepSubmit();
    void stepResubmit();
    void stepCancel();
    void stepKill();
    void stepRestart();
    void stepPause();
    void stepResume();
    void stepPartition();
    void stepHeal();
    void stepToggleStore();
    void stepLoseStoreAnswers();
    void stepKillWorker();
    void stepLoseWorkerAnswers();
    void stepChangePreset();

    void heal();
    void awaitFinalAnswers();
    void submit(Request &request, const std::string &instance);
    void checkRequests();
    void checkAnswer(Request &request, const SimulatedCluster::ReceivedAnswer &answered);
    void checkRefusal(Request &request, const SimulatedCluster::ReceivedAnswer &answered);
    void checkRevisions();
    void addViolation(const std::string &text);

    Settings settings;
    pcg32 random;
    SimulatedCluster cluster;
    std::vector<Request> requests;
    std::map<std::string, std::pair<EntryMachine *, std::uint64_t>> revisions;
    std::vector<std::string> violationTexts;
    std::uint64_t changes = 0;
};

} // namespace Hibiscus
