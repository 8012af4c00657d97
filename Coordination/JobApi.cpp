#include <Coordination/JobApi.h>
#include <Coordination/StoreKeys.h>
#include <Core/JsonText.h>

#include <algorithm>

namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::ConfigurationIndex;
using Tasks::Customer;
using Tasks::Queue;
using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::StoreOutcome;
using Tasks::SystemConfiguration;

namespace {

/// Maximum age of the configuration as a fraction of the revocation bound.
constexpr double maxAgeFraction = 0.6;
constexpr NumberRange durationRange{0, toMs(maxDuration)}; ///< In ms.

} // namespace

std::string_view nameOf(ReplyKind kind)
{
    static constexpr std::string_view names[]
        = {"accepted",    "state",       "cancelled", "pending", "no such queue", "no such job",
           "unknown key", "foreign job", "malformed", "not run", "unavailable",   "undecided"};
    return names[static_cast<std::size_t>(kind)];
}

std::string_view nameOf(CallVerb verb)
{
    static constexpr std::string_view names[] = {"submit", "status", "cancel", "pending"};
    return names[static_cast<std::size_t>(verb)];
}

JobApi::JobApi(Tasks::MetadataStore &store, TimerService &timers, const WallClock &wallClock,
               EventLogger &logger, const Settings &settings, Decoders decoders)
    : store(store)
    , timers(timers)
    , wallClock(wallClock)
    , logger(logger)
    , settings(settings)
    , decoders(std::move(decoders))
    , submitTimeout(settings.submitTimeout)
    , tombstoneBudget(settings.tombstones)
    , watch(
          store, timers, {.prefix = settings.configurationKey},
          {[this](const StoredItem &item, TimePoint now) { this->updateConfiguration(item, now); },
           [](TimePoint) {},
           [this](bool reachable, TimePoint now) {
               this->logger.logEvent(LogKind::Dependency,
                                     reachable ? "store answers again" : "store does not answer",
                                     {}, now);
           }})
    , forecastWatch(
          store, timers, {.prefix = StoreKeys::waits, .wait = settings.forecastWatchWait},
          {[this](const StoredItem &item, TimePoint now) { this->updateForecast(item, now); },
           [](TimePoint) {}, [](bool, TimePoint) {}})
{}

void JobApi::start(TimePoint now)
{
    this->watch.start(now);
    this->forecastWatch.start(now);
}

void JobApi::updateForecast(const StoredItem &item, TimePoint now)
{
    const nlohmann::json values = parseJson(item.value);
    this->forecasts.clear();
    this->forecastReadAt = now;
    if (item.removed || !values.is_object())
        return;
    for (const auto &[queue, wait] : values.items()) {
        if (!wait.is_array() || wait.size() != 2)
            continue;
        const std::optional<std::int64_t> expected = integerOf(wait[0], durationRange);
        const std::optional<std::int64_t> chain = integerOf(wait[1], durationRange);
        if (expected && chain)
            this->forecasts[queue] = {milliseconds(*expected), milliseconds(*chain)};
    }
}

void JobApi::updateConfiguration(const StoredItem &item, TimePoint now)
{
    if (item.key != this->settings.configurationKey || item.removed)
        return;
    if (this->currentDirectory && this->currentDirectory->configuration().revision >= item.revision)
        return;
    tl::expected<SystemConfiguration, std::string> decoded
        = this->decoders.configuration(item.value);
    if (!decoded) {
        this->logger.logEvent(LogKind::Fault, "configuration can't be used",
                              {{"revision", item.revision}, {"error", decoded.error()}}, now);
        return;
    }
    decoded->revision = item.revision;
    this->logger.logEvent(LogKind::Dependency, "configuration in force",
                          {{"version", decoded->version},
                           {"revision", item.revision},
                           {"queues", decoded->queues.size()},
                           {"customers", decoded->customers.size()}},
                          now);
    this->currentDirectory = std::make_shared<const ConfigurationIndex>(std::move(*decoded));
    if (this->configurationChanged)
        this->configurationChanged(this->currentDirectory->configuration());
}

bool JobApi::isConfigurationFresh(TimePoint now) const
{
    const auto bound = static_cast<Duration::rep>(
        maxAgeFraction * static_cast<double>(this->settings.revocationBound.count()));
    const std::optional<TimePoint> fresh = this->watch.freshAt();
    return fresh && now - *fresh < Duration(bound);
}

std::optional<Duration> JobApi::configurationAge(TimePoint now) const
{
    const std::optional<TimePoint> fresh = this->watch.freshAt();
    return fresh ? std::optional(now - *fresh) : std::nullopt;
}

std::int64_t JobApi::configurationAgeMs(TimePoint now) const
{
    const std::optional<Duration> age = this->configurationAge(now);
    return age ? toMs(*age) : -1;
}

std::optional<Duration> JobApi::forecastAge(TimePoint now) const
{
    if (this->forecastReadAt == TimePoint{})
        return std::nullopt;
    return now - this->forecastReadAt;
}

bool JobApi::isReady(TimePoint now) const
{
    return this->currentDirectory && this->isConfigurationFresh(now);
}

ClientReply JobApi::unavailable(const char *error) const
{
    ClientReply reply;
    reply.kind = ReplyKind::Unavailable;
    reply.retryAfter = this->settings.retryAfter;
    reply.error = error;
    return reply;
}

Duration JobApi::timeLeft(TimePoint deadline, TimePoint now) const
{
    return deadline - this->settings.answerReserve - now;
}

Duration JobApi::storeTime(TimePoint deadline, TimePoint now) const
{
    return std::min(this->settings.storeTimeout, this->timeLeft(deadline, now));
}

ReplyHandler JobApi::logRejections(const ClientCall &call, ReplyHandler reply, TimePoint now)
{
    const std::string request = call.path.substr(call.path.rfind('/') + 1);
    return [this, request, verb = call.verb, receivedAt = now,
            reply = std::move(reply)](const ClientReply &answer) {
        const bool isRejected = answer.kind == ReplyKind::NoSuchQueue
            || answer.kind == ReplyKind::NoSuchJob || answer.kind == ReplyKind::UnknownKey
            || answer.kind == ReplyKind::ForeignJob || answer.kind == ReplyKind::Unavailable;
        if (isRejected)
            this->logger.logEvent(
                LogKind::Refusal, "call turned away",
                {{"request", request},
                 {"call", nameOf(verb)},
                 {"outcome", nameOf(answer.kind)},
                 {"queue", answer.queue},
                 {"customer", answer.customer},
                 {"configuration",
                  this->currentDirectory ? this->currentDirectory->configuration().version : 0},
                 {"configurationAgeMs", this->configurationAgeMs(receivedAt)},
                 {"error", answer.error}},
                receivedAt);
        reply(answer);
    };
}

void JobApi::handle(ClientCall call, ReplyHandler reply, TimePoint now)
{
    reply = this->logRejections(call, std::move(reply), now);
    if (!this->currentDirectory) {
        reply(this->unavailable("this instance has not read a configuration yet"));
        return;
    }
    if (this->isConfigurationFresh(now)) {
        this->route(call, reply, now);
        return;
    }
    this->confirmConfiguration(std::move(call), std::move(reply), now);
}

/// Reads the configuration from the store before the request is routed. Needed when the watch has
/// been silent for too long, because an API key may have been revoked since.
void JobApi::confirmConfiguration(ClientCall call, ReplyHandler reply, TimePoint now)
{
    const Duration timeout = this->storeTime(call.deadline, now);
    if (timeout <= Duration{}) {
        reply(this->unavailable("the configuration could not be confirmed in time"));
        return;
    }
    const auto answerHandler = [this, call = std::move(call),
                                reply = std::move(reply)](const StoreAnswer &answer, TimePoint at) {
        if (answer.outcome != StoreOutcome::Done || answer.items.empty()) {
            reply(this->unavailable("the store does not answer"));
            return;
        }
        this->updateConfiguration(answer.items.front(), at);
        this->route(call, reply, at);
    };
    this->store.read(this->settings.configurationKey, timeout, answerHandler);
}

void JobApi::route(const ClientCall &call, const ReplyHandler &caller, TimePoint now)
{
    const ConfigurationIndex::Match match = this->currentDirectory->findQueue(call.host, call.path);
    if (!match.queue) {
        caller({.kind = ReplyKind::NoSuchQueue});
        return;
    }
    const Queue &queue = *match.queue;
    const Customer *customer = this->currentDirectory->findCustomerByKey(call.key);
    const ReplyHandler reply
        = [caller, queueName = queue.name,
           customerName = customer ? customer->name : std::string()](ClientReply answer) {
              answer.queue = queueName;
              answer.customer = customerName;
              caller(answer);
          };
    if (!queue.allowsAnonymous && !customer) {
        reply({.kind = ReplyKind::UnknownKey});
        return;
    }
    if (call.verb == CallVerb::Submit) {
        this->startSubmission(call, reply, match, customer, now);
        return;
    }
    const auto lookup = std::make_shared<Lookup>();
    lookup->call = call;
    lookup->reply = reply;
    lookup->job = match.jobId;
    lookup->queue = queue.name;
    lookup->customer = queue.allowsAnonymous || !customer ? std::string() : customer->name;
    lookup->receivedAt = now;
    if (!this->decoders.isJobId(match.jobId)) {
        if (match.jobId.empty() && call.verb == CallVerb::Status)
            this->countPending(lookup, now);
        else
            reply({.kind = ReplyKind::NoSuchJob});
        return;
    }
    if (this->timeLeft(call.deadline, now) <= Duration{})
        reply(this->unavailable("the client's deadline has passed"));
    else if (call.verb == CallVerb::Cancel)
        this->cancel(lookup, now);
    else
        this->readState(lookup, now);
}

} // namespace Hibiscus::Coordination
