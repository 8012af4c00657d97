#pragma once

#include <Coordination/JobApi.h>
#include <Coordination/LeaderElection.h>
#include <Coordination/TaskDispatcher.h>
#include <Node/LoopTimers.h>
#include <Node/NodeMetrics.h>
#include <Node/ProcessEventLogger.h>
#include <Runtime/HttpServer.h>
#include <Tasks/SiteSettings.h>
#include <platform/PlacementAdapter.h>
#include <platform/StoreAdapter.h>
#include <platform/WorkerAdapter.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <optional>
#include <string>

namespace Hibiscus::Node {

/// One instance of the scheduler on the users' platform: serves client requests and the readiness
/// check, and dispatches tasks while it is the elected leader. Everything runs on one event loop.
class NodeProcess
{
public:
    struct Settings
    {
        /// The platform's settings file, which is checked for changes periodically.
        std::string settingsFile;
        /// Port of the metrics server; 0 to disable metrics.
        unsigned short metricsPort = 0;
        Duration settingsCheckInterval = seconds(1);
        /// How long clients may still be routed to this instance after a drain begins.
        Duration drainTime = milliseconds(2600);
        /// Time before the platform kills the process by which the process stops.
        Duration stopReserve = milliseconds(700);
    };

    NodeProcess(const Settings &settings, const Tasks::SiteSettings &site);

    /// Runs until a signal to stop arrives; returns the exit status.
    int run();

private:
    std::int64_t guaranteeOf(std::string_view customer) const;
    void awaitSignals();
    void handleSignal(int signal);
    void drain(TimePoint now);
    void stopWhenIdle(TimePoint now);
    void checkSettings(TimePoint now);
    void reloadSettings(const char *cause, TimePoint now);

    void serveCaller(Runtime::HttpRequest request, const Runtime::HttpResponder &responder);
    void serveReadiness(const Runtime::HttpResponder &responder);
    void serveMetrics(const Runtime::HttpResponder &responder);
    NodeMetrics::Readings readMetrics(TimePoint now) const;
    void applyLimits(const Tasks::SystemConfiguration &configuration);
    /// Logs how many connections of callers were closed for each reason since the last call.
    void logClosedConnections(TimePoint now);

    Settings settings;
    Tasks::SiteSettings site;
    boost::asio::io_context loop;
    boost::asio::signal_set signals;
    LoopTimers timers;
    SystemWallClock wallClock;
    ProcessEventLogger logger;
    Platform::StoreAdapter store;
    Platform::WorkerAdapter workers;
    Platform::PlacementAdapter placement;
    Coordination::JobApi jobApi;
    Coordination::LeaderElection election;
    Coordination::TaskDispatcher dispatcher;
    std::optional<Runtime::HttpServer> callers;
    std::optional<Runtime::HttpServer> readiness;
    std::optional<Runtime::HttpServer> metricsServer;
    NodeMetrics metrics;
    Runtime::HttpServer::CloseCounts loggedCloses{};
    std::string settingsText; ///< Contents of the settings file when last read.
    bool draining = false;
    TimePoint stopDeadline{};
    TimePoint drainUntil{};
    /// Set once the stop deadline has passed.
    TimePoint finalAnswersUntil{};
};

} // namespace Hibiscus::Node
