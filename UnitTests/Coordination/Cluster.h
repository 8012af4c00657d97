#pragma once

#include "FakeStore.h"
#include "FakeWorkers.h"

#include <Coordination/JobApi.h>
#include <Coordination/LeaderElection.h>
#include <Coordination/TaskDispatcher.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Hibiscus::Coordination::Test {

/// Records the log events of an instance for assertions.
class RecordingEventLogger final : public EventLogger
{
public:
    void logEvent(Runtime::LogKind, std::string_view event, const Runtime::LogFields &fields,
                  TimePoint) override
    {
        this->events.emplace_back(std::string(event) + " " + fields.dump());
    }
    std::size_t count(std::string_view event) const;

    std::vector<std::string> events;
};

/// The worker of the newest assignment in an instance's log; empty if there is none.
std::string lastAssignedWorker(const RecordingEventLogger &logger);

/// Fake of the platform's placement service: permits each step on the workers that the test sets.
class FakePlacement final : public Tasks::PlacementService
{
public:
    explicit FakePlacement(SimClock &clock)
        : clock(clock)
    {}

    void requestPermits(const Tasks::StepRef &step, const std::vector<std::string> &workers,
                        Duration timeout, Tasks::PlacementHandler handler) override;
    /// Whether the worker accepts a start order with this permit.
    bool accepts(const std::string &worker, const Tasks::StartOrder &order) const;
    /// Workers that may run steps that need a permit.
    std::set<std::string> permittedWorkers;
    Duration decisionTime = milliseconds(200);
    Duration validity = seconds(5);
    bool silent = false;
    std::size_t queryCount = 0;
    std::size_t queriedWorkers = 0;

private:
    SimClock &clock;
    std::map<std::string, TimePoint> validUntil; ///< Expiry time by permit.
};

/// By instance: how far its machine's time of day is ahead. Others are right.
using ClockErrors = std::map<std::string, Duration>;

/// The time of day of an instance's machine, which may be off.
class SkewedClock final : public WallClock
{
public:
    SkewedClock(const SimClock &clock, const ClockErrors &errors, std::string instance)
        : clock(clock)
        , errors(errors)
        , instance(std::move(instance))
    {}

    std::int64_t nowMs() const override
    {
        const auto error = this->errors.find(this->instance);
        return this->clock.nowMs() + (error == this->errors.end() ? 0 : toMs(error->second));
    }

private:
    const SimClock &clock;
    const ClockErrors &errors;
    std::string instance;
};

/// An instance that runs on simulated time.
class Instance
{
public:
    Instance(SimClock &clock, const ClockErrors &clockErrors, FakeStore &store,
             FakeWorkers &workers, FakePlacement &placement, const std::string &name);
    ~Instance() { *this->alive = false; }

    std::shared_ptr<bool> alive;
    /// Timers and answers are deferred until this time, as on a suspended machine.
    std::shared_ptr<std::optional<TimePoint>> suspendedUntil;

private:
    class Timers;

    SkewedClock wallClock;
    std::unique_ptr<TimerService> timers;
    std::unique_ptr<FakeStore::View> store;
    std::unique_ptr<FakeWorkers::View> link;

public:
    RecordingEventLogger logger;
    std::unique_ptr<JobApi> jobApi;
    std::unique_ptr<LeaderElection> election;
    std::unique_ptr<TaskDispatcher> dispatcher;
};

/// Instances with fakes of the platform's store, workers and placement service on one simulated
/// clock.
class Cluster
{
public:
    /// Assigns the workers to racks of four. Each rack is a data centre of its own.
    Cluster(std::size_t instances, std::size_t workerCount);

    void run(Duration span) { this->clock.run(span); }
    void startInstance(const std::string &name);
    void killInstance(const std::string &name);
    void putWorker(const Tasks::WorkerEntry &entry);
    /// Removes the worker's registry entry, as when its heartbeats don't reach the store.
    void removeWorkerEntry(const std::string &id);
    /// Asks for the evacuation of a data centre, or takes the request back.
    void evacuate(const std::string &dataCenter);
    void takeBack(const std::string &dataCenter);
    void setKeys(const std::vector<std::string> &keys);

    /// Returns the reply, or nothing if none arrives within the client's timeout of three seconds.
    std::optional<ClientReply> call(const std::string &instance, ClientCall call);
    std::optional<ClientReply> submit(const std::string &instance, const std::string &id,
                                      const std::string &body);
    std::optional<ClientReply> state(const std::string &instance, const std::string &id);
    std::optional<ClientReply> cancel(const std::string &instance, const std::string &id);
    bool isCompleted(const std::string &id);

    /// Name of the leader; empty if there is none.
    std::string leader() const;

    SimClock clock;
    ClockErrors clockErrors; ///< Changes take effect at once.
    FakeStore store;
    FakeWorkers workers;
    FakePlacement placement;
    std::map<std::string, std::unique_ptr<Instance>> instances;
    std::int64_t configurationVersion = 0;
    /// Whether all queues require permits, from the next configuration version on.
    bool permitsRequired = false;
};

/// Key of the customer "schools". The calls of Cluster use the keys of the customer "parks".
inline constexpr const char *schoolsKey = "schools-key";

/// A job id: the number, padded with zeros to 16 digits.
std::string jobId(std::uint32_t number);
/// The body of a submission with one step of `tasks` tasks. `payload` is a TaskScript;
/// `accelerators` is the need of each task. For the queue see Cluster::submit.
std::string jobBody(const std::string &payload, std::int32_t tasks, std::int32_t accelerators,
                    bool gang = false);
/// Adds fields to a body: "priority" (which selects the queue), "sameRack", "perpetual",
/// "mostAway", "times", "firstMs" or "everyMs".
std::string withFields(const std::string &body, const nlohmann::json &fields);

} // namespace Hibiscus::Coordination::Test
