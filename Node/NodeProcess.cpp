#include <Node/NodeProcess.h>
#include <Runtime/Address.h>
#include <Runtime/Clock.h>
#include <platform/CallerFormat.h>
#include <platform/Formats.h>

#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <fstream>
#include <sstream>

namespace Hibiscus::Node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Coordination::ClientCall;
using Coordination::ClientReply;
using Runtime::HttpRequest;
using Runtime::HttpResponder;
using Runtime::HttpResponse;
using Runtime::LogKind;

namespace {

constexpr Duration defaultClientTimeout = seconds(3); ///< For clients that send no deadline.
/// While the process drains, each request is answered at least this long before the stop deadline.
constexpr Duration answerMargin = milliseconds(150);
/// Time for overdue answers when the process resumes from a suspension after its stop deadline.
constexpr Duration finalAnswerTime = milliseconds(200);

std::uint64_t seedOf(const std::string &name)
{
    return std::hash<std::string>()(name);
}

Coordination::JobApi::Settings jobApiSettings(const Tasks::SiteSettings &site)
{
    Coordination::JobApi::Settings settings;
    settings.configurationKey = Platform::configurationKey;
    settings.revocationBound = site.maxRevocationDelay;
    return settings;
}

template <class Value>
tl::expected<Value, std::string> withErrorText(tl::expected<Value, Findings> decoded)
{
    if (!decoded)
        return tl::unexpected(decoded.error().toString());
    return std::move(*decoded);
}

Coordination::JobApi::Decoders jobApiDecoders()
{
    Coordination::JobApi::Decoders decoders;
    decoders.configuration
        = [](std::string_view text) { return withErrorText(Platform::decodeConfiguration(text)); };
    decoders.submission
        = [](std::string_view text) { return withErrorText(Platform::decodeSubmission(text)); };
    decoders.isJobId = Platform::isJobId;
    return decoders;
}

/// The leader's load grows with the whole fleet, so machines with little processor time or a slow
/// link delay their campaigns and let stronger ones be elected first.
Duration campaignDelay(const Tasks::SiteSettings &site)
{
    constexpr double sufficientCores = 0.25;
    constexpr double sufficientMbps = 100.0;
    const Duration delayPerShortfall = milliseconds(300);
    Duration fixedCampaignDelay{};
    if (site.cores < sufficientCores)
        fixedCampaignDelay += delayPerShortfall;
    if (site.linkMbps < sufficientMbps)
        fixedCampaignDelay += delayPerShortfall;
    return fixedCampaignDelay;
}

Coordination::LeaderElection::Settings electionSettings(const Tasks::SiteSettings &site)
{
    Coordination::LeaderElection::Settings settings;
    // A process campaigns after it has bound this address, so a former one with the same is gone.
    settings.instance = site.instance + "@" + site.callersAddress;
    settings.seed = seedOf(site.instance);
    settings.leaseDuration = std::max(settings.leaseDuration, site.minStoreLease);
    settings.fixedCampaignDelay = campaignDelay(site);
    return settings;
}

Coordination::TaskDispatcher::Settings dispatcherSettings(const Tasks::SiteSettings &site)
{
    Coordination::TaskDispatcher::Settings settings;
    settings.workerRegistry = Platform::workerRegistryPrefix;
    settings.statusRetention = site.statusRetention;
    settings.planner.remoteDataFactor = site.remoteDataFactor;
    settings.planner.checkpointInterval = site.checkpointInterval;
    settings.fleet.maxLeaseDuration = site.maxWorkerLease;
    settings.departures.maxStopTime = site.maxStopTime;
    if (site.evacuationBound > Duration{}) {
        settings.evacuations.prefix = Platform::evacuationPrefix;
        // The rest of the bound is for the way of a start order.
        settings.evacuations.maxAge = site.evacuationBound * 3 / 5;
    }
    return settings;
}

/// Limits for callers, whom nobody controls, as shares of the machine. The rest is for the
/// process's own work and its connections to the store and to workers.
Runtime::HttpServer::Settings callerLimits(const Tasks::SiteSettings &site)
{
    constexpr std::int64_t descriptorsForFiles = 200; ///< Set aside by the platform.
    constexpr std::int64_t bytesPerMiB = std::int64_t{1024} * 1024;
    /// What a connection takes without a request, with the bytes that the kernel holds for it.
    constexpr std::int64_t bytesPerConnection = std::int64_t{24} * 1024;
    constexpr std::int64_t fewestConnections = 16;
    const std::int64_t memory = site.memoryMiB * bytesPerMiB;
    const std::int64_t byDescriptors = (site.maxDescriptors - descriptorsForFiles) * 2 / 3;
    const std::int64_t byMemory = memory / 3 / bytesPerConnection;
    Runtime::HttpServer::Settings limits;
    limits.maxConnections
        = static_cast<std::size_t>(std::max(fewestConnections, std::min(byDescriptors, byMemory)));
    limits.maxHeldBytes = static_cast<std::uint64_t>(memory / 8);
    return limits;
}

/// Limits for readiness checks and for readers of metrics, of which there are few.
Runtime::HttpServer::Settings monitoringLimits()
{
    Runtime::HttpServer::Settings limits;
    limits.maxConnections = 16;
    limits.maxHeldBytes = std::uint64_t{1024} * 1024;
    limits.bodyLimitBytes = 1024;
    return limits;
}

std::string readText(const std::string &file)
{
    const std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

HttpResponse textResponse(http::status status, std::string text)
{
    HttpResponse response;
    response.result(status);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = std::move(text);
    return response;
}

} // namespace

NodeProcess::NodeProcess(const Settings &settings, const Tasks::SiteSettings &site)
    : settings(settings)
    , site(site)
    , loop(1)
    , signals(loop, SIGTERM, SIGHUP, SIGINT)
    , timers(loop)
    , wallClock([this](Duration jump, TimePoint now) {
        this->logger.logEvent(LogKind::Fault, "machine's clock has jumped",
                              {{"byMs", toMs(jump)}, {"effect", "not followed at once"}}, now);
    })
    , logger({.instance = site.instance})
    , store(loop, site.storeAddress, Runtime::monotonicNow)
    , workers(loop, Runtime::monotonicNow)
    , placement(loop, site.placementAddress, Runtime::monotonicNow)
    , jobApi(store, timers, wallClock, logger, jobApiSettings(site), jobApiDecoders())
    , election(store, timers, logger, electionSettings(site),
               {[this](const Coordination::LeaderElection::Term &term, TimePoint now) {
                    this->dispatcher.elected(term, now);
                },
                [this] { this->dispatcher.deposed(); },
                [this](TimePoint now) { this->dispatcher.termConfirmed(now); }})
    , dispatcher(
          store, workers, timers, wallClock, logger, election, placement, dispatcherSettings(site),
          [](std::string_view key, std::string_view value) {
              return withErrorText(Platform::decodeWorkerEntry(key, value));
          },
          [this](std::string_view customer) { return this->guaranteeOf(customer); })
    , settingsText(readText(settings.settingsFile))
{
    this->dispatcher.jobFinished
        = [this](const Tasks::Job &job, Tasks::JobState state, Duration age) {
              this->metrics.recordFinishedJob(job, state, age);
          };
    this->jobApi.configurationChanged = [this](const Tasks::SystemConfiguration &configuration) {
        this->applyLimits(configuration);
    };
}

std::int64_t NodeProcess::guaranteeOf(std::string_view customer) const
{
    const Tasks::ConfigurationIndex *directory = this->jobApi.directory();
    const Tasks::Customer *found = directory ? directory->findCustomerByName(customer) : nullptr;
    return found ? found->guaranteedAccelerators : 0;
}

int NodeProcess::run()
{
    const TimePoint now = Runtime::monotonicNow();
    this->logger.logEvent(LogKind::Process, "start",
                          {{"dataCenter", this->site.dataCenter},
                           {"callers", this->site.callersAddress},
                           {"store", this->site.storeAddress}},
                          now);
    this->callers.emplace(
        this->loop, *Runtime::parseAddress(this->site.callersAddress),
        [this](HttpRequest request, const HttpResponder &responder) {
            this->serveCaller(std::move(request), responder);
        },
        callerLimits(this->site));
    this->readiness.emplace(
        this->loop, *Runtime::parseAddress(this->site.readinessAddress),
        [this](const HttpRequest &, const HttpResponder &responder) {
            this->serveReadiness(responder);
        },
        monitoringLimits());
    if (this->settings.metricsPort != 0) {
        const asio::ip::tcp::endpoint address(asio::ip::make_address(this->site.ip),
                                              this->settings.metricsPort);
        this->metricsServer.emplace(
            this->loop, address,
            [this](const HttpRequest &, const HttpResponder &responder) {
                this->serveMetrics(responder);
            },
            monitoringLimits());
    }
    this->awaitSignals();
    this->jobApi.start(now);
    this->election.start(now);
    this->timers.after(this->settings.settingsCheckInterval,
                       [this](TimePoint at) { this->checkSettings(at); });
    this->loop.run();
    return 0;
}

void NodeProcess::awaitSignals()
{
    this->signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        this->handleSignal(signal);
        this->awaitSignals();
    });
}

void NodeProcess::handleSignal(int signal)
{
    const TimePoint now = Runtime::monotonicNow();
    if (signal == SIGHUP) {
        this->reloadSettings("signal", now);
        return;
    }
    this->drain(now);
}

/// The platform routes clients to other instances once the readiness check has failed twice. Until
/// then, and until all pending requests are answered, this instance keeps serving.
void NodeProcess::drain(TimePoint now)
{
    if (std::exchange(this->draining, true))
        return;
    this->logger.logEvent(LogKind::Process, "draining",
                          {{"connections", this->callers->connectionCount()}}, now);
    this->drainUntil = now + this->settings.drainTime;
    this->stopDeadline = now + this->site.stopGracePeriod - this->settings.stopReserve;
    this->election.resign(now);
    this->callers->closeAfterResponses();
    this->stopWhenIdle(now);
}

void NodeProcess::stopWhenIdle(TimePoint now)
{
    const bool idle = this->callers->requestsInProgress() == 0;
    const bool served = now >= this->drainUntil && idle;
    if (served)
        this->callers->closeIdleConnections();
    // After a suspension of the whole process, overdue requests are answered before the stop.
    const bool timeIsUp = now >= this->stopDeadline;
    if (timeIsUp && this->finalAnswersUntil == TimePoint{})
        this->finalAnswersUntil = now + finalAnswerTime;
    const bool stops = timeIsUp && (idle || now >= this->finalAnswersUntil);
    if (stops || (served && this->callers->connectionCount() == 0)) {
        this->logger.logEvent(LogKind::Process, "stop",
                              {{"connections", this->callers->connectionCount()},
                               {"requestsInProgress", this->callers->requestsInProgress()}},
                              now);
        this->loop.stop();
        return;
    }
    constexpr Duration drainPoll = milliseconds(50);
    this->timers.after(drainPoll, [this](TimePoint at) { this->stopWhenIdle(at); });
}

void NodeProcess::checkSettings(TimePoint now)
{
    this->reloadSettings("change", now);
    this->logClosedConnections(now);
    this->timers.after(this->settings.settingsCheckInterval,
                       [this](TimePoint at) { this->checkSettings(at); });
}

void NodeProcess::reloadSettings(const char *cause, TimePoint now)
{
    const std::string text = readText(this->settings.settingsFile);
    const bool changed = !text.empty() && text != this->settingsText;
    if (!changed)
        return;
    this->settingsText = text;
    const tl::expected<Tasks::SiteSettings, Findings> read = Platform::decodeSettings(text);
    if (!read) {
        this->logger.logEvent(LogKind::Fault, "settings can't be used",
                              {{"cause", cause}, {"findings", read.error().toString()}}, now);
        return;
    }
    const bool sameValues = *read == this->site;
    this->logger.logEvent(
        LogKind::Process, "reload",
        {{"cause", cause},
         {"result", sameValues ? "no value in use has changed" : "takes effect at the next start"}},
        now);
}

void NodeProcess::serveCaller(HttpRequest request, const HttpResponder &responder)
{
    const TimePoint now = Runtime::monotonicNow();
    std::optional<ClientCall> call
        = Platform::decodeCall(std::move(request), defaultClientTimeout, now);
    if (!call) {
        responder(HttpResponse(http::status::method_not_allowed, 11));
        return;
    }
    if (this->draining)
        call->deadline = std::min(call->deadline, this->stopDeadline - answerMargin);
    this->jobApi.handle(
        std::move(*call),
        [this, responder, now, verb = call->verb](const ClientReply &reply) {
            this->metrics.recordAnswer(verb, reply, Runtime::monotonicNow() - now);
            responder(Platform::encodeReply(reply));
        },
        now);
}

void NodeProcess::serveReadiness(const HttpResponder &responder)
{
    const bool ready = !this->draining && this->jobApi.isReady(Runtime::monotonicNow());
    responder(textResponse(ready ? http::status::ok : http::status::service_unavailable,
                           ready ? "ready\n" : "not ready\n"));
}

void NodeProcess::serveMetrics(const HttpResponder &responder)
{
    const NodeMetrics::Readings readings = this->readMetrics(Runtime::monotonicNow());
    responder(
        textResponse(http::status::ok, this->metrics.toPrometheusText(readings, this->logger)));
}

NodeMetrics::Readings NodeProcess::readMetrics(TimePoint now) const
{
    NodeMetrics::Readings readings;
    readings.isLeading = this->dispatcher.isReady() && this->election.isLeading(now);
    readings.jobs = this->dispatcher.jobTable().all().size();
    readings.tombstones = this->dispatcher.tombstoneCount();
    readings.workers = this->dispatcher.workerFleet().all().size();
    readings.callerConnections = this->callers->connectionCount();
    readings.callerHeldBytes = this->callers->heldBytes();
    readings.closedConnections = this->callers->closeCounts();
    readings.storeCalls = this->store.callsMade();
    readings.workerCalls = this->workers.callsMade();
    readings.workerConnections = this->workers.connectionsMade();
    readings.placementCalls = this->placement.callsMade();
    const Tasks::ConfigurationIndex *directory = this->jobApi.directory();
    readings.configurationVersion = directory ? directory->configuration().version : 0;
    readings.configurationAge = this->jobApi.configurationAge(now);
    readings.forecastAge = this->jobApi.forecastAge(now);
    if (readings.isLeading)
        readings.speeds = this->dispatcher.workerSpeeds().spreads();
    readings.oldestWorkerAnswerAge = this->dispatcher.workerFleet().oldestAnswerAge(now);
    return readings;
}

void NodeProcess::applyLimits(const Tasks::SystemConfiguration &configuration)
{
    Runtime::HttpServer::Settings limits = callerLimits(this->site);
    limits.headerLimitBytes = configuration.limits.headerBytes;
    limits.bodyLimitBytes = configuration.limits.bodyBytes;
    limits.idleTimeout = configuration.limits.idleTimeout;
    limits.readTimeout = configuration.limits.headerTimeout;
    if (this->callers)
        this->callers->setLimits(limits);
}

void NodeProcess::logClosedConnections(TimePoint now)
{
    const Runtime::HttpServer::CloseCounts &counts = this->callers->closeCounts();
    if (counts == this->loggedCloses)
        return;
    Runtime::LogFields fields;
    for (std::size_t i = 0; i < counts.size(); i++) {
        if (counts[i] > this->loggedCloses[i])
            fields[std::string(nameOf(static_cast<Runtime::CloseReason>(i)))]
                = counts[i] - this->loggedCloses[i];
    }
    fields["connections"] = this->callers->connectionCount();
    fields["heldBytes"] = this->callers->heldBytes();
    this->loggedCloses = counts;
    this->logger.logEvent(LogKind::Refusal, "connections of callers closed", fields, now);
}

} // namespace Hibiscus::Node
