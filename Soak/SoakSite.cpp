#include <Coordination/StoreKeys.h>
#include <Runtime/Clock.h>
#include <Soak/SoakSite.h>
#include <Soak/StandInWire.h>
#include <platform/Formats.h>

#include <csignal>
#include <filesystem>
#include <sys/wait.h>
#include <unistd.h>

namespace Hibiscus::Soak {

namespace asio = boost::asio;

namespace {

constexpr Duration clockInterval = milliseconds(2);
constexpr std::size_t rackSize = 4;
/// Under faults, a cancellation may reach the leader late, so the bound is longer than in the unit
/// tests. See the platform's rules on machines in touch.
constexpr Duration cancellationBound = seconds(12);
constexpr long maxMemoryKiB = 61'440; ///< Memory limit of an instance: 60 MiB.

const asio::ip::tcp::endpoint anyPort{asio::ip::address_v4::loopback(), 0};

constexpr unsigned short callersPort = 8521;
constexpr unsigned short readinessPort = 8523;

/// Returns a loopback address that is distinct for each process of the soak and each instance, so
/// that soaks can run concurrently, also with the same seed.
asio::ip::address_v4 instanceAddress(std::size_t instance)
{
    constexpr std::size_t perByte = 250;
    const auto byteOf
        = [](std::size_t value) { return static_cast<unsigned char>(1 + value % perByte); };
    const auto process = static_cast<std::size_t>(getpid());
    return asio::ip::address_v4(
        {127, byteOf(process / perByte), byteOf(process), byteOf(instance)});
}

asio::ip::tcp::endpoint loopback(unsigned short port)
{
    return {asio::ip::address_v4::loopback(), port};
}

std::string addressOf(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

SoakSite::SoakSite(asio::io_context &loop, const Settings &settings)
    : loop(loop)
    , settings(settings)
    , actions(settings.folder + "/platform.log")
    , clockTimer(loop)
    , clockAdvancedAt(std::chrono::steady_clock::now())
{
    this->workers.cancellationBound = cancellationBound;
    this->instances.resize(settings.instances);
    this->machines.resize(settings.workers);
    for (std::size_t i = 0; i < settings.workers; i++)
        this->addWorker(i);
    this->advanceClock();
    for (std::size_t i = 0; i < settings.instances; i++)
        this->addInstance(i);
}

SoakSite::~SoakSite()
{
    *this->alive = false;
}

void SoakSite::advanceClock()
{
    const auto now = std::chrono::steady_clock::now();
    const auto passed = std::chrono::duration_cast<Duration>(now - this->clockAdvancedAt);
    this->clockAdvancedAt += passed;
    this->clock.run(passed);
    for (; this->loggedViolations < this->workers.violations.size(); this->loggedViolations++)
        this->logAction("violation", {{"text", this->workers.violations[this->loggedViolations]}});
    this->clockTimer.expires_after(clockInterval);
    this->clockTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->advanceClock();
    });
}

void SoakSite::addWorker(std::size_t number)
{
    Machine &machine = this->machines[number];
    const std::string id = "worker-" + std::to_string(number);
    machine.entry = this->workers.add(id, "rack-" + std::to_string(number / rackSize));
    machine.entry.dataCenter = "north";
    machine.server = std::make_unique<Runtime::HttpServer>(
        this->loop, anyPort,
        [this, number](const Runtime::HttpRequest &request,
                       const Runtime::HttpResponder &responder) {
            this->logOrder(this->machines[number], request);
            serveWorker(this->link, this->machines[number].entry, request, responder);
        },
        Runtime::HttpServer::Settings{});
    machine.proxy = std::make_unique<FaultProxy>(this->loop, loopback(machine.server->port()));
    machine.entry.address = addressOf(machine.proxy->port());
    this->publish(machine);
}

void SoakSite::logAction(std::string_view action, nlohmann::json fields)
{
    fields["time"] = Runtime::wallClockMs();
    fields["action"] = action;
    this->actions << fields.dump() << std::endl;
}

/// Logs a start or stop order when it reaches the worker's server. While the worker's orders are
/// delayed, the worker executes it after FakeWorkers::orderDelay.
void SoakSite::logOrder(const Machine &machine, const Runtime::HttpRequest &request)
{
    if (request.target() == "/hold" || request.target() == "/pace")
        return;
    const nlohmann::json order = nlohmann::json::parse(request.body(), nullptr, false);
    if (!order.is_object())
        return;
    this->logAction("order received",
                    {{"worker", machine.entry.id},
                     {"incarnation", machine.entry.incarnation},
                     {"order", std::string(request.target())},
                     {"task", order.value("task", "")},
                     {"run", order.value("run", 0)},
                     {"token", order.value("fencingToken", std::int64_t{0})},
                     {"delayed", this->workers.delayedWorkers.contains(machine.entry.id)}});
}

void SoakSite::publish(Machine &machine)
{
    this->store.put(registryKey(machine.entry.id), encodeEntry(machine.entry, ++this->sequence));
}

void SoakSite::addInstance(std::size_t number)
{
    Instance &instance = this->instances[number];
    instance.name = "entry-" + std::to_string(number);
    instance.settingsFile = this->settings.folder + "/" + instance.name + ".toml";
    instance.logFile = this->settings.folder + "/" + instance.name + ".log";
    instance.clockErrorFile = this->settings.folder + "/" + instance.name + ".clock";
    this->setClockError(number, {});
    instance.view = std::make_unique<FakeStore::View>(this->store, instance.name, this->alive);
    instance.storeServer = std::make_unique<Runtime::HttpServer>(
        this->loop, anyPort,
        [&view = *instance.view](const Runtime::HttpRequest &request,
                                 const Runtime::HttpResponder &responder) {
            serveStore(view, request, responder);
        },
        Runtime::HttpServer::Settings{.idleTimeout = seconds(60)});
    instance.store
        = std::make_unique<FaultProxy>(this->loop, loopback(instance.storeServer->port()));
    const asio::ip::address_v4 ip = instanceAddress(number);
    instance.callers
        = std::make_unique<FaultProxy>(this->loop, asio::ip::tcp::endpoint(ip, callersPort));
    const std::string host = ip.to_string() + ":";
    std::ofstream(instance.settingsFile)
        << encodeSettings({instance.name, host + std::to_string(callersPort),
                           host + std::to_string(readinessPort), addressOf(instance.store->port())})
        << this->settings.moreSettings;
    this->startInstance(number);
}

std::string SoakSite::callersAddress(std::size_t instance) const
{
    return addressOf(this->instances[instance].callers->port());
}

asio::ip::tcp::endpoint SoakSite::directAddress(std::size_t instance) const
{
    return {instanceAddress(instance), callersPort};
}

void SoakSite::startInstance(std::size_t number)
{
    Instance &instance = this->instances[number];
    instance.stopExpected = false;
    instance.paused = false;
    instance.startedAt = Runtime::monotonicNow();
    std::error_code noLogYet;
    const std::uintmax_t logSize = std::filesystem::file_size(instance.logFile, noLogYet);
    instance.logSizeAtStart = noLogYet ? 0 : logSize;
    instance.process = std::make_unique<ChildProcess>(
        std::vector<std::string>{this->settings.program, "--settings", instance.settingsFile},
        instance.logFile,
        std::vector<std::string>{"HIBISCUS_SOAK_CLOCK_ERROR=" + instance.clockErrorFile});
}

void SoakSite::setClockError(std::size_t instance, Duration error)
{
    const std::string &file = this->instances[instance].clockErrorFile;
    const std::int64_t errorMs = toMs(error);
    // The instance reads the file at any time, so it is replaced whole.
    const std::string newFile = file + ".new";
    std::ofstream(newFile) << errorMs;
    std::filesystem::rename(newFile, file);
    this->logAction("clock set",
                    {{"instance", this->instances[instance].name}, {"errorMs", errorMs}});
}

void SoakSite::signalInstance(std::size_t number, int signal)
{
    Instance &instance = this->instances[number];
    instance.stopExpected = instance.stopExpected || signal == SIGKILL || signal == SIGTERM;
    instance.paused = signal == SIGSTOP || (instance.paused && signal != SIGCONT);
    instance.process->signal(signal);
    this->logAction("signal", {{"instance", instance.name}, {"signal", signal}});
    // A paused process handles no signal except SIGKILL.
    if (signal == SIGTERM && instance.paused)
        this->signalInstance(number, SIGCONT);
}

void SoakSite::restartStoppedInstances()
{
    for (std::size_t i = 0; i < this->instances.size(); i++) {
        Instance &instance = this->instances[i];
        if (instance.process->peakMemoryKiB() > maxMemoryKiB)
            this->violations.push_back(instance.name + " exceeds the memory limit");
        if (instance.process->isRunning())
            continue;
        if (endedByEarlySignal(instance))
            this->logAction("ended by an early signal", {{"instance", instance.name}});
        else if (!instance.stopExpected)
            this->violations.push_back(instance.name + " ended unexpectedly with status "
                                       + std::to_string(instance.process->status()));
        this->startInstance(i);
    }
}

/// Whether SIGHUP ended the process before it wrote a line. Until main() runs, a program can't hold
/// SIGHUP back, and the platform's rules count no end within a second of a start by the platform.
bool SoakSite::endedByEarlySignal(const Instance &instance)
{
    const int status = instance.process->status();
    const bool byReload = WIFSIGNALED(status) && WTERMSIG(status) == SIGHUP;
    return byReload && Runtime::monotonicNow() < instance.startedAt + seconds(1)
        && std::filesystem::file_size(instance.logFile) == instance.logSizeAtStart;
}

void SoakSite::changeSettings(std::size_t number)
{
    std::ofstream(this->instances[number].settingsFile, std::ios::app) << "# changed\n";
}

void SoakSite::setStoreBehavior(std::size_t instance, StoreBehavior behavior)
{
    this->store.behaviors[this->instances[instance].name] = behavior;
}

void SoakSite::restartWorker(std::size_t worker)
{
    this->restartWorkerSilently(worker);
    this->publishWorker(worker);
}

void SoakSite::restartWorkerSilently(std::size_t worker)
{
    Machine &machine = this->machines[worker];
    const std::string address = machine.entry.address;
    machine.entry = this->workers.restart(machine.entry.id);
    machine.entry.address = address;
    machine.entry.dataCenter = "north";
    this->logAction("worker restarted",
                    {{"worker", machine.entry.id}, {"incarnation", machine.entry.incarnation}});
}

void SoakSite::setDraining(std::size_t worker, bool draining)
{
    this->machines[worker].entry.draining = draining;
    this->publish(this->machines[worker]);
}

void SoakSite::setOrdersDelayed(std::size_t worker, bool delayed)
{
    this->logAction("orders delayed",
                    {{"worker", this->machines[worker].entry.id}, {"delayed", delayed}});
    if (delayed)
        this->workers.delayedWorkers.insert(this->machines[worker].entry.id);
    else
        this->workers.delayedWorkers.erase(this->machines[worker].entry.id);
}

void SoakSite::setOrdersDropped(std::size_t worker, bool dropped)
{
    const std::string &id = this->machines[worker].entry.id;
    this->logAction("orders dropped", {{"worker", id}, {"dropped", dropped}});
    if (dropped)
        this->workers.closedWorkers.insert(id);
    else
        this->workers.closedWorkers.erase(id);
}

void SoakSite::setPollDelay(std::size_t worker, Duration delay)
{
    const std::string &id = this->machines[worker].entry.id;
    this->logAction("poll delay", {{"worker", id}, {"ms", toMs(delay)}});
    this->workers.pollDelays[id] = delay;
}

void SoakSite::setPollsUnanswered(std::size_t worker, bool unanswered)
{
    const std::string &id = this->machines[worker].entry.id;
    this->logAction("polls unanswered", {{"worker", id}, {"unanswered", unanswered}});
    if (unanswered)
        this->workers.delayedPolls.insert(id);
    else
        this->workers.delayedPolls.erase(id);
}

std::optional<std::size_t> SoakSite::leader() const
{
    const Tasks::StoredItem *key = this->store.find(Coordination::StoreKeys::leader);
    for (std::size_t i = 0; key && i < this->instances.size(); i++) {
        if (key->value.starts_with(this->instances[i].name + "#"))
            return i;
    }
    return std::nullopt;
}

void SoakSite::configure(const std::vector<std::string> &keys)
{
    this->version++;
    this->store.put(Platform::configurationKey, encodeConfiguration(this->version, keys));
}

void SoakSite::clearFaults()
{
    this->store.defaultBehavior = StoreBehavior::Normal;
    this->store.behaviors.clear();
    this->workers.delayedWorkers.clear();
    this->workers.closedWorkers.clear();
    this->workers.pollDelays.clear();
    this->workers.delayedPolls.clear();
    for (std::size_t i = 0; i < this->instances.size(); i++) {
        this->signalInstance(i, SIGCONT);
        this->setClockError(i, {});
        this->instances[i].store->setFault(ConnectionFault::None);
        this->instances[i].callers->setFault(ConnectionFault::None);
    }
    for (std::size_t i = 0; i < this->machines.size(); i++) {
        this->machines[i].proxy->setFault(ConnectionFault::None);
        this->setDraining(i, false);
    }
    this->restartStoppedInstances();
}

void SoakSite::stopAll()
{
    for (std::size_t i = 0; i < this->instances.size(); i++) {
        this->signalInstance(i, SIGTERM);
        const auto deadline = std::chrono::steady_clock::now() + seconds(10);
        while (this->instances[i].process->isRunning()
               && std::chrono::steady_clock::now() < deadline)
            this->loop.run_for(milliseconds(20));
        if (this->instances[i].process->isRunning())
            this->violations.push_back(this->instances[i].name + " does not stop");
        this->checkLog(this->instances[i]);
    }
}

/// Checks that the instance stopped without requests in progress and wrote neither
/// unreadable-record events nor unstructured output.
void SoakSite::checkLog(const Instance &instance)
{
    std::ifstream log(instance.logFile);
    for (std::string line; std::getline(log, line);) {
        const nlohmann::json entry = nlohmann::json::parse(line, nullptr, false);
        if (!entry.is_object()) {
            // A kill may truncate a line; any other unstructured line was written by an error.
            if (!line.starts_with("{"))
                this->violations.push_back(instance.name + " wrote an unexpected line: " + line);
            continue;
        }
        const std::string event = entry.value("event", "");
        if (event == "stop" && entry.value("requestsInProgress", 0) > 0)
            this->violations.push_back(instance.name + " stopped with requests in progress");
        if (event == "progress record can't be read" || event == "job record can't be read")
            this->violations.push_back(instance.name + ": " + line);
    }
}

} // namespace Hibiscus::Soak
