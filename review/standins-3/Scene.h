#pragma once

#include "Record.h"
#include "Store.h"
#include "Worker.h"

#include <set>
#include <sys/types.h>

namespace Scene {

/// Bounds of the settings that the cases are judged by, in ms.
constexpr std::int64_t cancelMs = 3000;
constexpr std::int64_t stopMs = 400;
constexpr std::int64_t stableWindowMs = 3000;

/// What a program returns to `run.sh`.
enum Verdict : int {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/// A run that a worker has begun.
struct SeenRun
{
    std::string worker;
    std::string task;
    int run = 0;
    std::int64_t beganAt = 0;
    std::int64_t endedAt = 0; ///< 0: it has not ended.
    std::string how;
};

struct Route
{
    std::string name;
    std::string prefix;
    int priority = 1;
    bool noAuth = false;
};

/// A small deployment: the store, workers, and instances of the system as separate processes.
class Deployment
{
public:
    /// Makes the deployment of the scene. It lives until the process ends, as its threads do.
    static Deployment &make(const std::vector<Route> &routes);
    /// Ends all processes that the scene has started, and removes its temporary folder.
    static void end();

    static constexpr const char *host = "jobs.example";
    static constexpr const char *key = "key-of-tenant-a";
    static constexpr const char *otherKey = "key-of-tenant-b";

    Worker &addWorker(const std::string &id, const std::string &rack, const Capacity &capacity);
    /// Starts instances and waits until all are ready and tasks can start.
    void startNodes(int count);
    void signalNode(int node, int signal);
    /// Starts the process of a node that was killed.
    void restartNode(int node);
    /// Whether the process of a node is there.
    bool isAlive(int node);

    /// A call of a client. An empty key sends none.
    Response client(int node, const std::string &method, const std::string &path,
                    const std::string &apiKey, const std::string &body = "", int timeoutMs = 3000);
    /// The state that a GET shows; empty without an answer of 200.
    std::string stateOf(int node, const std::string &path, const std::string &apiKey);
    /// Polls a job's state until it is `state` or the time is over.
    bool awaitState(int node, const std::string &path, const std::string &apiKey,
                    const std::string &state, std::int64_t ms);

    std::vector<SeenRun> runsOf(const std::string &job);
    /// Index of the node that leads by its log; -1 if none was found.
    int leader();
    Store &platform() { return this->store; }
    std::map<std::string, Worker *> &allWorkers() { return this->workers; }

private:
    explicit Deployment(const std::vector<Route> &routes);
    void endProcesses();

    struct Node
    {
        std::string name;
        std::string ip;
        std::string front;
        std::string ready;
        std::string settings;
        std::string log;
        pid_t process = 0;
    };

    void launch(Node &node);
    void writeSettings(Node &node, const std::string &storeAddress);
    Capacity needOf(const std::string &task);
    void seen(const std::string &worker, const std::string &task, int run, const std::string &what);

    std::string folder;
    Store store;
    std::map<std::string, Worker *> workers;
    std::vector<Node> nodes;
    std::mutex mutex; ///< Of what follows.
    std::vector<SeenRun> runs;
    std::map<std::string, nlohmann::json> stepsOfJobs; ///< As the clients sent them.
};

/// The longest time for which two runs of one task worked together, in ms.
std::int64_t timeTogether(const std::vector<SeenRun> &runs);
/// Prints what was found into the record, and returns it.
Verdict conclude(bool broken, const std::string &why);
/// Whether the disruption is to happen; `TROUBLE=0` leaves it out.
bool hasTrouble();

/// A job of one step. The spec tells how long each task works.
std::string jobOf(std::int64_t workMs, const nlohmann::json &steps);

} // namespace Scene
