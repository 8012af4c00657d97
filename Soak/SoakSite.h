#pragma once

#include <FakeStore.h>
#include <FakeWorkers.h>
#include <Runtime/HttpServer.h>
#include <Soak/ChildProcess.h>
#include <Soak/FaultProxy.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus::Soak {

using Coordination::Test::FakeStore;
using Coordination::Test::FakeWorkers;
using Coordination::Test::SimClock;
using Coordination::Test::StoreBehavior;

/// The system under test: instances as real processes, and fakes of the platform's store and
/// workers in this process, which run on real time. Every connection passes through a proxy.
class SoakSite
{
public:
    struct Settings
    {
        std::uint64_t seed = 0; ///< Determines the instances' addresses.
        std::string program; ///< Path of hibiscus-node.
        std::string folder; ///< Existing folder for settings files and logs.
        std::size_t instances = 3;
        std::size_t workers = 8;
        std::string moreSettings; ///< Appended to each instance's settings file.
    };

    SoakSite(boost::asio::io_context &loop, const Settings &settings);
    ~SoakSite();

    std::size_t instanceCount() const { return this->instances.size(); }
    std::size_t workerCount() const { return this->machines.size(); }
    /// Address at which clients reach the instance.
    std::string callersAddress(std::size_t instance) const;
    /// Address on which the instance itself listens for clients, without the proxy.
    boost::asio::ip::tcp::endpoint directAddress(std::size_t instance) const;
    ChildProcess &process(std::size_t instance) { return *this->instances[instance].process; }

    void startInstance(std::size_t number);
    void signalInstance(std::size_t number, int signal);
    /// Restarts every instance that has ended, as the platform does. Records an unexpected end as a
    /// violation.
    void restartStoppedInstances();
    /// Changes the settings file by appending a comment line.
    void changeSettings(std::size_t number);

    /// Sets how far the time of day of the instance's machine is ahead. Only an instance that was
    /// built with ShiftedWallClock.cpp takes notice.
    void setClockError(std::size_t instance, Duration error);

    void setStoreBehavior(std::size_t instance, StoreBehavior behavior);
    void setStoreBehaviorForAll(StoreBehavior behavior) { this->store.defaultBehavior = behavior; }
    FaultProxy &callersProxy(std::size_t instance) { return *this->instances[instance].callers; }
    FaultProxy &storeProxy(std::size_t instance) { return *this->instances[instance].store; }
    FaultProxy &workerProxy(std::size_t worker) { return *this->machines[worker].proxy; }
    /// Restarts the worker's process and publishes its entry.
    void restartWorker(std::size_t worker);
    /// Restarts the worker's process, which publishes nothing.
    void restartWorkerSilently(std::size_t worker);
    /// Publishes the registry entry of the worker's present process.
    void publishWorker(std::size_t worker) { this->publish(this->machines[worker]); }
    void setDraining(std::size_t worker, bool draining);
    void setOrdersDelayed(std::size_t worker, bool delayed);
    /// Drops orders to the worker without an answer; polls are not affected.
    void setOrdersDropped(std::size_t worker, bool dropped);
    /// Delays polls on their way to the worker; the process that runs by then executes them. Zero
    /// ends the delay of further polls.
    void setPollDelay(std::size_t worker, Duration delay);
    /// Lets the worker execute polls after FakeWorkers::orderDelay and answer none of them.
    void setPollsUnanswered(std::size_t worker, bool unanswered);
    /// Number of the instance that the leader's key in the store names, if there is one.
    std::optional<std::size_t> leader() const;
    /// Stores a new version of the configuration with these API keys.
    void configure(const std::vector<std::string> &keys);

    /// Ends all faults: resumes and restarts instances and repairs all connections.
    void clearFaults();
    /// Stops all instances and checks their logs.
    void stopAll();

    /// Adds a line to the log of what the fakes did, which is kept beside the instances' logs.
    void logAction(std::string_view action, nlohmann::json fields);

    TimePoint now() const { return this->clock.now(); }
    SimClock clock;
    FakeStore store{this->clock};
    FakeWorkers workers{this->clock};
    std::vector<std::string> violations;

private:
    struct Instance
    {
        std::string name;
        std::string settingsFile;
        std::string logFile;
        std::string clockErrorFile;
        std::unique_ptr<FakeStore::View> view;
        std::unique_ptr<Runtime::HttpServer> storeServer;
        std::unique_ptr<FaultProxy> store;
        std::unique_ptr<FaultProxy> callers;
        std::unique_ptr<ChildProcess> process;
        bool stopExpected = false;
        TimePoint startedAt{};
        std::uintmax_t logSizeAtStart = 0; ///< In bytes.
        bool paused = false;
    };
    struct Machine
    {
        Tasks::WorkerEntry entry;
        std::unique_ptr<Runtime::HttpServer> server;
        std::unique_ptr<FaultProxy> proxy;
    };

    void advanceClock();
    void addInstance(std::size_t number);
    void addWorker(std::size_t number);
    void publish(Machine &machine);
    void logOrder(const Machine &machine, const Runtime::HttpRequest &request);
    static bool endedByEarlySignal(const Instance &instance);
    void checkLog(const Instance &instance);

    boost::asio::io_context &loop;
    Settings settings;
    std::ofstream actions;
    std::size_t loggedViolations = 0; ///< Number of the workers' violations in the log.
    boost::asio::steady_timer clockTimer;
    std::chrono::steady_clock::time_point clockAdvancedAt;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    FakeWorkers::View link{this->workers, "soak", this->alive};
    std::vector<Instance> instances;
    std::vector<Machine> machines;
    std::int64_t version = 0;
    std::int64_t sequence = 0;
};

} // namespace Hibiscus::Soak
