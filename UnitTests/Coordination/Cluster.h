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
#include <vector>

namespace Hibiscus::Coordination::Test {

/// Lines that an instance told, kept for assertions.
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

/// The platform's placement service: each step may run on the workers that the test names.
class FakePlacement final : public Tasks::PlacementService
{
public:
    explicit FakePlacement(SimClock &clock)
        : clock(clock)
    {}

    void requestPermits(const Tasks::StepRef &step, const std::vector<std::string> &workers,
                        Duration timeout, Tasks::PlacementHandler handler) override;
    /// Whether a worker lets a start with this permit in.
    bool accepts(const std::string &worker, const Tasks::StartOrder &order) const;

    std::set<std::string> permittedWorkers; ///< Workers that may run what needs a permit.
    Duration decisionTime = milliseconds(200);
    Duration validity = seconds(5);
    bool silent = false;
    std::size_t queryCount = 0;
    std::size_t queriedWorkers = 0;

private:
    SimClock &clock;
    std::map<std::string, TimePoint> validUntil; ///< By permit.
};

/// One instance on simulated time.
class Instance
{
public:
    Instance(SimClock &clock, FakeStore &store, FakeWorkers &workers, FakePlacement &placement,
             const std::string &name);
    ~Instance() { *this->alive = false; }

    std::shared_ptr<bool> alive;
    /// While set, timers and answers wait, as on a suspended machine.
    std::shared_ptr<std::optional<TimePoint>> suspendedUntil;

private:
    class Timers;

    std::unique_ptr<TimerService> timers;
    std::unique_ptr<FakeStore::View> store;
    std::unique_ptr<FakeWorkers::View> link;

public:
    RecordingEventLogger logger;
    std::unique_ptr<JobApi> jobApi;
    std::unique_ptr<LeaderElection> election;
    std::unique_ptr<TaskDispatcher> dispatcher;
};

/// Instances, the platform's store and its workers on one simulated clock.
class Cluster
{
public:
    /// Workers fill racks of four.
    Cluster(std::size_t instances, std::size_t workerCount);

    void run(Duration span) { this->clock.run(span); }
    void startInstance(const std::string &name);
    void killInstance(const std::string &name);
    void putWorker(const Tasks::WorkerEntry &entry);
    void setKeys(const std::vector<std::string> &keys);

    /// The reply comes within the client's patience of three seconds, or not at all.
    std::optional<ClientReply> call(const std::string &instance, ClientCall call);
    std::optional<ClientReply> submit(const std::string &instance, const std::string &id,
                                      const std::string &body);
    std::optional<ClientReply> state(const std::string &instance, const std::string &id);
    std::optional<ClientReply> cancel(const std::string &instance, const std::string &id);
    bool isCompleted(const std::string &id);

    /// Empty if no instance leads.
    std::string leader() const;

    SimClock clock;
    FakeStore store;
    FakeWorkers workers;
    FakePlacement placement;
    std::map<std::string, std::unique_ptr<Instance>> instances;
    std::int64_t configurationVersion = 0;
    bool permitsRequired = false; ///< By all queues, from the next version on.
};

/// A job's id: 16 hexadecimal digits that end with the number.
std::string jobId(std::uint32_t number);
/// A caller's text: tasks that run so long, each with so many accelerators. `priority` picks the
/// queue; see Cluster::submit.
std::string jobBody(const std::string &payload, std::int32_t tasks, std::int32_t accelerators,
                    bool gang = false);
/// The body with further fields: "priority", "perpetual", "mostAway", "times", "everyMs".
std::string withFields(const std::string &body, const nlohmann::json &fields);

} // namespace Hibiscus::Coordination::Test
