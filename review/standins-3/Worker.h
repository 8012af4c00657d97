#pragma once

#include "Store.h"

namespace Scene {

struct Capacity
{
    std::int64_t cpu = 32000;
    std::int64_t memMb = 65536;
    std::int64_t gpu = 8;
};

/// What a worker does with a start order.
struct OrderFate
{
    std::int64_t lateMs = 0; ///< The order gets no answer and is carried out after this time.
};

/// Stand-in for one worker, as PROTOCOL.md describes it. The scene decides how long each task
/// works, by its `spec`. The worker can crash, and start again under its id as a process that
/// knows nothing of before.
class Worker
{
public:
    Worker(Store &store, const std::string &id, const std::string &service, const std::string &rack,
           const Capacity &capacity);

    /// Ends the process: everything that runs ends without a report, and nothing answers.
    void crash();
    /// Starts a new process under the same id and address.
    void startAgain();
    /// Ends the process without a word, and removes the entry after some heartbeats.
    void leaveForGood();

    /// Cuts the worker off from the instances and the store, which removes its entry after some
    /// heartbeats.
    void cutOff();
    /// Cuts the worker off from the store alone, for less time than its entry stays there.
    void cutOffFromStore();
    /// Ends a cut, and writes the entry.
    void reconnect();

    /// Time that a task of this spec works; negative: for ever.
    std::function<std::int64_t(const std::string &spec)> workMs;
    /// Decides about a start order: task, run.
    std::function<OrderFate(const std::string &, int)> fateOf;
    /// Tells of each run that begins and ends: task, run, what ("start", or how it ended).
    std::function<void(const std::string &worker, const std::string &task, int run,
                       const std::string &what)>
        seen;
    /// Looks up what a task needs.
    std::function<Capacity(const std::string &task)> needOf;

    const std::string &name() const { return this->id; }
    bool isRunning(const std::string &task) const;
    std::size_t runningCount() const;

private:
    struct Run
    {
        int number = 0;
        std::int64_t startedAt = 0;
        std::int64_t workMs = 0;
        std::int64_t stopsAt = 0; ///< 0: no stop was ordered.
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
    };

    Response handle(const Request &request);
    Response start(const nlohmann::json &body);
    Response stop(const nlohmann::json &body);
    Response hold(const nlohmann::json &body);
    Response refuse(const char *reason) const;
    bool isFenced(const nlohmann::json &body);
    void extendLease(const nlohmann::json &body);
    void tick();
    void writeEntry();
    void end(const std::string &task, const std::string &how);
    std::int64_t clock() const;
    bool hasRoom(const std::string &task) const;

    Store &store;
    std::string id;
    std::string service;
    std::string rack;
    Capacity capacity;
    mutable std::mutex mutex;
    std::condition_variable ended;
    std::unique_ptr<Server> server;
    bool up = true;
    bool gone = false;
    bool isCut = false;
    bool reachesStore = true;
    int life = 1;
    std::int64_t born = 0;
    std::int64_t bornAt = 0; ///< By the scene's clock.
    std::int64_t seq = 0;
    std::int64_t leaseEnd = 0; ///< By the worker's clock.
    std::int64_t highestToken = 0;
    std::map<std::string, Run> runs;
    std::map<std::string, int> highestEnded; ///< By task: runs up to this one are rejected.
    std::vector<End> ends;
    std::int64_t lastEnd = 0;
};

} // namespace Scene
