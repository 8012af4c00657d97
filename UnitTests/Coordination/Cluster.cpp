#include "Cluster.h"

#include <nlohmann/json.hpp>

namespace Hibiscus::Coordination::Test {

using nlohmann::json;
using Tasks::SystemConfiguration;

namespace {

constexpr const char *configurationKey = "operator/configuration";
constexpr const char *registryPrefix = "registry/";
constexpr const char *evacuationPrefix = "operator/evacuate/";
constexpr Duration clientTimeout = seconds(3);

// Configuration, submissions and registry entries use simple formats of these tests. The platform's
// formats are tested in UnitTests/platform.
tl::expected<SystemConfiguration, std::string> decodeConfiguration(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return tl::unexpected(std::string("can't be read"));
    SystemConfiguration configuration;
    configuration.version = value.at("version").get<std::int64_t>();
    for (std::int32_t priority = 0; priority < 3; priority++) {
        Tasks::Queue queue;
        queue.name = "queue-" + std::to_string(priority);
        queue.host = "jobs.example";
        queue.prefix = "/p" + std::to_string(priority) + "/";
        queue.service = "blend";
        queue.priority = priority;
        queue.maxAttempts = 2;
        queue.stretch = 3.0;
        queue.targetLatency = seconds(1);
        if (value.value("permits", false))
            queue.permits = {milliseconds(100), milliseconds(5), seconds(5)};
        configuration.queues.push_back(queue);
    }
    Tasks::Queue open = configuration.queues.back();
    open.name = "queue-open";
    open.prefix = "/open/";
    open.allowsAnonymous = true;
    configuration.queues.push_back(open);
    configuration.customers.push_back(
        {"parks", value.at("keys").get<std::vector<std::string>>(), 16});
    configuration.customers.push_back({"schools", {schoolsKey}, 0});
    return configuration;
}

tl::expected<Tasks::Job, std::string> decodeSubmission(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return tl::unexpected(std::string("can't be read"));
    Tasks::Job job;
    job.payload = value.at("payload").get<std::string>();
    Tasks::Step step;
    step.count = value.at("tasks").get<std::int32_t>();
    step.need = {1000, 1000, value.at("accelerators").get<std::int64_t>()};
    step.estimate = parseScript(job.payload).runTime;
    step.gang = value.at("gang").get<bool>();
    step.sameRack = value.value("sameRack", false);
    const TaskScript script = parseScript(job.payload);
    step.bestEffortCpu = script.bestEffort;
    step.responseTarget = milliseconds(script.target);
    step.perpetual = value.value("perpetual", false);
    step.maxUnavailable = value.value("mostAway", 0);
    job.steps.push_back(step);
    job.repetition.count = value.value("times", 0);
    job.repetition.first = value.value("firstMs", std::int64_t{0});
    job.repetition.interval = milliseconds(value.value("everyMs", 0));
    return job;
}

std::string encodeEntry(const Tasks::WorkerEntry &entry)
{
    return json{{"incarnation", entry.incarnation},
                {"labels", entry.labels},
                {"dataCenter", entry.dataCenter},
                {"draining", entry.draining},
                {"timeLeftMs", entry.timeLeft ? toMs(*entry.timeLeft) : -1},
                {"accelerators", entry.capacity.accelerators}}
        .dump();
}

tl::expected<Tasks::WorkerEntry, std::string> decodeEntry(std::string_view key,
                                                          std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return tl::unexpected(std::string("can't be read"));
    Tasks::WorkerEntry entry;
    entry.id = key.substr(std::string_view(registryPrefix).size());
    entry.address = entry.id + ":1";
    entry.service = "blend";
    entry.dataCenter = value.value("dataCenter", "");
    entry.labels = value.at("labels").get<std::vector<std::string>>();
    entry.capacity = {32000, 65536, value.at("accelerators").get<std::int64_t>()};
    entry.draining = value.at("draining").get<bool>();
    const std::int64_t timeLeftMs = value.at("timeLeftMs").get<std::int64_t>();
    if (timeLeftMs >= 0)
        entry.timeLeft = milliseconds(timeLeftMs);
    entry.incarnation = value.at("incarnation").get<std::int64_t>();
    return entry;
}

} // namespace

std::size_t RecordingEventLogger::count(std::string_view event) const
{
    std::size_t sum = 0;
    for (const std::string &line : this->events)
        sum += line.starts_with(event) ? 1 : 0;
    return sum;
}

std::string lastAssignedWorker(const RecordingEventLogger &logger)
{
    constexpr std::string_view event = "run assigned ";
    const auto last
        = std::find_if(logger.events.rbegin(), logger.events.rend(),
                       [event](const std::string &line) { return line.starts_with(event); });
    if (last == logger.events.rend())
        return {};
    return json::parse(last->substr(event.size())).at("worker").get<std::string>();
}

class Instance::Timers final : public TimerService
{
public:
    Timers(SimClock &clock, std::shared_ptr<const bool> alive,
           std::shared_ptr<const std::optional<TimePoint>> suspendedUntil)
        : clock(clock)
        , alive(std::move(alive))
        , suspendedUntil(std::move(suspendedUntil))
    {}

    void after(Duration delay, std::function<void(TimePoint now)> handler) override
    {
        this->clock.inProcess(delay, this->alive, this->suspendedUntil,
                              [this, handler = std::move(handler)] { handler(this->clock.now()); });
    }

private:
    SimClock &clock;
    std::shared_ptr<const bool> alive;
    std::shared_ptr<const std::optional<TimePoint>> suspendedUntil;
};

void FakePlacement::requestPermits(const Tasks::StepRef &step,
                                   const std::vector<std::string> &workers, Duration timeout,
                                   Tasks::PlacementHandler handler)
{
    this->queryCount++;
    this->queriedWorkers += workers.size();
    Tasks::PlacementAnswer answer;
    answer.outcome
        = this->silent ? Tasks::PlacementOutcome::Failed : Tasks::PlacementOutcome::Answered;
    const std::string name = step.job + "/" + std::to_string(step.step) + "/";
    for (const std::string &worker : workers) {
        if (this->silent || !this->permittedWorkers.contains(worker))
            continue;
        const std::string permit = name + worker + "/" + std::to_string(this->queryCount);
        this->validUntil[permit] = this->clock.now() + this->decisionTime + this->validity;
        answer.permits.push_back({worker, permit});
    }
    this->clock.in(this->silent ? timeout : this->decisionTime,
                   [this, answer, handler] { handler(answer, this->clock.now()); });
}

bool FakePlacement::accepts(const std::string &worker, const Tasks::StartOrder &order) const
{
    const auto known = this->validUntil.find(order.permit);
    const std::string name
        = order.run.job + "/" + std::to_string(order.run.task.step) + "/" + worker + "/";
    return known != this->validUntil.end() && order.permit.starts_with(name)
        && this->clock.now() < known->second;
}

Instance::Instance(SimClock &clock, const ClockErrors &clockErrors, FakeStore &store,
                   FakeWorkers &workers, FakePlacement &placement, const std::string &name)
    : alive(std::make_shared<bool>(true))
    , suspendedUntil(std::make_shared<std::optional<TimePoint>>())
    , wallClock(clock, clockErrors, name)
    , timers(std::make_unique<Timers>(clock, this->alive, this->suspendedUntil))
    , store(std::make_unique<FakeStore::View>(store, name, this->alive))
    , link(std::make_unique<FakeWorkers::View>(workers, name, this->alive))
{
    this->store->suspendedUntil = this->suspendedUntil;
    this->link->suspendedUntil = this->suspendedUntil;
    JobApi::Settings jobApiSettings;
    jobApiSettings.configurationKey = configurationKey;
    this->jobApi = std::make_unique<JobApi>(
        *this->store, *this->timers, this->wallClock, this->logger, jobApiSettings,
        JobApi::Decoders{decodeConfiguration, decodeSubmission,
                         [](std::string_view id) { return id.size() == 16; }});
    LeaderElection::Settings electionSettings;
    electionSettings.instance = name;
    electionSettings.seed = std::hash<std::string>()(name);
    this->election = std::make_unique<LeaderElection>(
        *this->store, *this->timers, this->logger, electionSettings,
        LeaderElection::Handlers{[this](const LeaderElection::Term &term, TimePoint now) {
                                     this->dispatcher->elected(term, now);
                                 },
                                 [this] { this->dispatcher->deposed(); },
                                 [this](TimePoint now) { this->dispatcher->termConfirmed(now); }});
    TaskDispatcher::Settings dispatcherSettings;
    dispatcherSettings.workerRegistry = registryPrefix;
    dispatcherSettings.evacuations.prefix = evacuationPrefix;
    this->dispatcher = std::make_unique<TaskDispatcher>(
        *this->store, *this->link, *this->timers, this->wallClock, this->logger, *this->election,
        placement, dispatcherSettings, decodeEntry, [this](std::string_view customer) {
            const Tasks::ConfigurationIndex *directory = this->jobApi->directory();
            const Tasks::Customer *found
                = directory ? directory->findCustomerByName(customer) : nullptr;
            return found ? found->guaranteedAccelerators : 0;
        });
    this->jobApi->start(clock.now());
    this->election->start(clock.now());
}

Cluster::Cluster(std::size_t instanceCount, std::size_t workerCount)
    : store(this->clock)
    , workers(this->clock)
    , placement(this->clock)
{
    this->workers.permitCheck = [this](const std::string &worker, const Tasks::StartOrder &order) {
        return this->placement.accepts(worker, order);
    };
    constexpr std::size_t rackSize = 4;
    this->setKeys({"key-1"});
    for (std::size_t i = 0; i < workerCount; i++)
        this->putWorker(this->workers.add("worker-" + std::to_string(i),
                                          "rack-" + std::to_string(i / rackSize)));
    for (std::size_t i = 0; i < instanceCount; i++)
        this->startInstance("entry-" + std::to_string(i));
    this->run(seconds(1));
}

void Cluster::startInstance(const std::string &name)
{
    this->instances[name] = std::make_unique<Instance>(this->clock, this->clockErrors, this->store,
                                                       this->workers, this->placement, name);
}

void Cluster::killInstance(const std::string &name)
{
    this->instances.erase(name);
}

void Cluster::putWorker(const Tasks::WorkerEntry &entry)
{
    this->store.put(registryPrefix + entry.id, encodeEntry(entry));
}

void Cluster::removeWorkerEntry(const std::string &id)
{
    this->store.remove(registryPrefix + id);
}

void Cluster::evacuate(const std::string &dataCenter)
{
    this->store.put(evacuationPrefix + dataCenter, "{}");
    this->workers.evacuatedAt[dataCenter] = this->clock.now();
}

void Cluster::takeBack(const std::string &dataCenter)
{
    this->store.remove(evacuationPrefix + dataCenter);
    this->workers.evacuatedAt.erase(dataCenter);
}

void Cluster::setKeys(const std::vector<std::string> &keys)
{
    this->configurationVersion++;
    this->store.put(configurationKey,
                    json{{"version", this->configurationVersion},
                         {"keys", keys},
                         {"permits", this->permitsRequired}}
                        .dump());
}

std::optional<ClientReply> Cluster::call(const std::string &instance, ClientCall call)
{
    const auto reply = std::make_shared<std::optional<ClientReply>>();
    call.host = "jobs.example";
    call.deadline = this->clock.now() + clientTimeout;
    const TimePoint deadline = call.deadline;
    this->instances.at(instance)->jobApi->handle(
        std::move(call), [reply](const ClientReply &answer) { *reply = answer; },
        this->clock.now());
    while (!*reply && this->clock.now() < deadline)
        this->run(milliseconds(1));
    return *reply;
}

std::optional<ClientReply> Cluster::submit(const std::string &instance, const std::string &id,
                                           const std::string &body)
{
    // The path prefix selects the queue: urgent jobs have priority 0 and the prefix /p0/.
    const json value = json::parse(body);
    const std::string prefix = "/p" + std::to_string(value.value("priority", 1)) + "/";
    return this->call(
        instance, {.verb = CallVerb::Submit, .path = prefix + id, .key = "key-1", .body = body});
}

std::optional<ClientReply> Cluster::state(const std::string &instance, const std::string &id)
{
    return this->call(instance, {.verb = CallVerb::Status, .path = "/p1/" + id, .key = "key-1"});
}

std::optional<ClientReply> Cluster::cancel(const std::string &instance, const std::string &id)
{
    std::optional<ClientReply> reply
        = this->call(instance, {.verb = CallVerb::Cancel, .path = "/p1/" + id, .key = "key-1"});
    const bool isAcknowledged
        = reply && (reply->kind == ReplyKind::Cancelled || reply->kind == ReplyKind::NoSuchJob);
    if (isAcknowledged)
        this->workers.cancelledAt.emplace(id, this->clock.now());
    return reply;
}

bool Cluster::isCompleted(const std::string &id)
{
    const std::optional<ClientReply> reply = this->state(this->instances.begin()->first, id);
    return reply && reply->kind == ReplyKind::State && reply->state == Tasks::JobState::Completed;
}

std::string Cluster::leader() const
{
    for (const auto &[name, instance] : this->instances) {
        if (instance->election->isLeading(this->clock.now()))
            return name;
    }
    return {};
}

std::string jobId(std::uint32_t number)
{
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

std::string jobBody(const std::string &payload, std::int32_t tasks, std::int32_t accelerators,
                    bool gang)
{
    return json{
        {"payload", payload}, {"tasks", tasks}, {"accelerators", accelerators}, {"gang", gang}}
        .dump();
}

std::string withFields(const std::string &body, const json &fields)
{
    json value = json::parse(body);
    value.update(fields);
    return value.dump();
}

} // namespace Hibiscus::Coordination::Test
