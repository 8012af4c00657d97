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

/// One instance of the system on the users' platform: serves callers, answers for its readiness,
/// and leads when it is elected. Everything runs on one event loop.
class NodeProcess
{
public:
    struct Settings
    {
        std::string settingsFile; ///< Of the platform; read again when it changes.
        unsigned short metricsPort = 0; ///< 0: no metrics are served.
        Duration settingsCheckInterval = seconds(1);
        Duration drainTime = milliseconds(2600); ///< Callers are still sent here for this long.
        Duration stopReserve = milliseconds(700); ///< Before the kill, by then the process ends.
    };

    NodeProcess(const Settings &settings, const Tasks::SiteSettings &site);

    /// Serves until a signal to stop; returns the exit status.
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
    std::string settingsText; ///< As last read.
    bool draining = false;
    TimePoint stopDeadline{};
    TimePoint drainUntil{};
    TimePoint finalAnswersUntil{}; ///< Set once the time to end has come.
};

} // namespace Hibiscus::Node
