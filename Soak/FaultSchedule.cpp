#include <Soak/FaultSchedule.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <stdexcept>

namespace Hibiscus::Soak {

const FaultSchedule::NamedFault FaultSchedule::faults[] = {
    {"kill", &FaultSchedule::killInstance},
    {"kill all", &FaultSchedule::killAllInstances},
    {"stop", &FaultSchedule::stopInstance},
    {"stop in turn", &FaultSchedule::stopAllInTurn},
    {"pause", &FaultSchedule::pauseInstance},
    {"reload settings", &FaultSchedule::reloadSettings},
    {"store fails one", &FaultSchedule::failStore},
    {"store fails all", &FaultSchedule::failStoreForAll},
    {"history compacted", &FaultSchedule::compactStoreHistory},
    {"store connections", &FaultSchedule::failStoreConnections},
    {"client connections", &FaultSchedule::failClientConnections},
    {"worker connections", &FaultSchedule::failWorkerConnections},
    {"blackholed connections", &FaultSchedule::blackholeConnections},
    {"worker restart", &FaultSchedule::restartWorker},
    {"worker drain", &FaultSchedule::drainWorker},
    {"delayed orders", &FaultSchedule::delayOrders},
    {"key change", &FaultSchedule::changeKeys},
    {"configuration change", &FaultSchedule::changeConfiguration},
    {"worker back under its old id", &FaultSchedule::restartWorkersUnderOldIds, false},
    {"late polls", &FaultSchedule::delayPolls, false},
    {"unanswered polls", &FaultSchedule::leavePollsUnanswered, false},
    {"late orders to a restarted worker", &FaultSchedule::restartWorkerWithLateOrders, false},
    {"kill leader", &FaultSchedule::killLeader, false},
    {"late commits", &FaultSchedule::delayCommits, false},
    {"clock", &FaultSchedule::setClock, false},
    {"all clocks", &FaultSchedule::setAllClocks, false},
};

FaultSchedule::FaultSchedule(boost::asio::io_context &loop, SoakSite &site, SoakClients &clients,
                             std::uint64_t seed, const Settings &settings)
    : loop(loop)
    , site(site)
    , clients(clients)
    , settings(settings)
    , random(seed)
{
    this->selectFaults();
}

void FaultSchedule::selectFaults()
{
    const std::vector<std::string> &only = this->settings.only;
    for (const NamedFault &fault : faults) {
        const bool isNamed = std::find(only.begin(), only.end(), fault.name) != only.end();
        if (isNamed || (only.empty() && fault.isDefault))
            this->selected.push_back(&fault);
    }
    if (this->selected.empty() || (!only.empty() && this->selected.size() != only.size()))
        throw std::invalid_argument("a named fault is unknown or named twice");
}

void FaultSchedule::start()
{
    this->injectNext();
}

void FaultSchedule::schedule(Duration delay, std::function<void()> step)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop, delay);
    timer->async_wait([timer, step = std::move(step)](boost::system::error_code error) {
        if (!error)
            step();
    });
}

void FaultSchedule::injectNext()
{
    if (this->stopped)
        return;
    const NamedFault &drawn
        = *this->selected[this->random(static_cast<std::uint32_t>(this->selected.size()))];
    this->counts[drawn.name]++;
    this->site.logAction("fault", {{"name", drawn.name}});
    (this->*drawn.fault)();
    const Duration pause
        = Duration(this->random(static_cast<std::uint32_t>(this->settings.maxPause.count())));
    this->schedule(pause, [this] { this->injectNext(); });
}

Duration FaultSchedule::drawFaultDuration()
{
    return this->drawDuration(this->settings.minFaultDuration, this->settings.maxFaultDuration);
}

Duration FaultSchedule::drawDuration(Duration min, Duration max)
{
    return min + Duration(this->random(static_cast<std::uint32_t>((max - min).count())));
}

std::size_t FaultSchedule::drawInstance()
{
    return this->random(static_cast<std::uint32_t>(this->site.instanceCount()));
}

std::size_t FaultSchedule::drawWorker()
{
    return this->random(static_cast<std::uint32_t>(this->site.workerCount()));
}

void FaultSchedule::killInstance()
{
    this->site.signalInstance(this->drawInstance(), SIGKILL);
}

void FaultSchedule::killAllInstances()
{
    for (std::size_t i = 0; i < this->site.instanceCount(); i++)
        this->site.signalInstance(i, SIGKILL);
}

void FaultSchedule::stopInstance()
{
    this->site.signalInstance(this->drawInstance(), SIGTERM);
}

void FaultSchedule::stopAllInTurn()
{
    const Duration gap = milliseconds(500);
    for (std::size_t i = 0; i < this->site.instanceCount(); i++)
        this->schedule(gap * static_cast<Duration::rep>(i), [this, i] {
            if (!this->stopped)
                this->site.signalInstance(i, SIGTERM);
        });
}

void FaultSchedule::pauseInstance()
{
    const std::size_t instance = this->drawInstance();
    this->site.signalInstance(instance, SIGSTOP);
    this->schedule(this->drawFaultDuration(),
                   [this, instance] { this->site.signalInstance(instance, SIGCONT); });
}

void FaultSchedule::reloadSettings()
{
    const std::size_t instance = this->drawInstance();
    this->site.changeSettings(instance);
    this->site.signalInstance(instance, SIGHUP);
}

void FaultSchedule::delayCommits()
{
    const std::size_t instance = this->drawInstance();
    this->site.setStoreBehavior(instance, StoreBehavior::ExecutesCommitsLate);
    this->schedule(this->drawFaultDuration(), [this, instance] {
        this->site.setStoreBehavior(instance, StoreBehavior::Normal);
    });
}

void FaultSchedule::failStore()
{
    static constexpr StoreBehavior behaviors[]
        = {StoreBehavior::Unresponsive, StoreBehavior::Rejecting, StoreBehavior::LosesAnswers,
           StoreBehavior::ExecutesLate};
    const std::size_t instance = this->drawInstance();
    this->site.setStoreBehavior(instance, behaviors[this->random(std::size(behaviors))]);
    this->schedule(this->drawFaultDuration(), [this, instance] {
        this->site.setStoreBehavior(instance, StoreBehavior::Normal);
    });
}

void FaultSchedule::failStoreForAll()
{
    this->site.setStoreBehaviorForAll(this->random(2) == 0 ? StoreBehavior::Unresponsive
                                                           : StoreBehavior::Rejecting);
    this->schedule(this->drawFaultDuration(),
                   [this] { this->site.setStoreBehaviorForAll(StoreBehavior::Normal); });
}

void FaultSchedule::compactStoreHistory()
{
    this->site.store.compactHistory();
}

ConnectionFault FaultSchedule::drawConnectionFault()
{
    static constexpr ConnectionFault selected[]
        = {ConnectionFault::Delayed, ConnectionFault::Reset, ConnectionFault::DropToServer,
           ConnectionFault::DropToClient, ConnectionFault::Blackhole};
    return selected[this->random(std::size(selected))];
}

void FaultSchedule::failStoreConnections()
{
    FaultProxy &proxy = this->site.storeProxy(this->drawInstance());
    proxy.setFault(this->drawConnectionFault());
    this->schedule(this->drawFaultDuration(), [&proxy] { proxy.setFault(ConnectionFault::None); });
}

void FaultSchedule::failClientConnections()
{
    FaultProxy &proxy = this->site.callersProxy(this->drawInstance());
    proxy.setFault(this->drawConnectionFault());
    this->schedule(this->drawFaultDuration(), [&proxy] { proxy.setFault(ConnectionFault::None); });
}

void FaultSchedule::failWorkerConnections()
{
    FaultProxy &proxy = this->site.workerProxy(this->drawWorker());
    proxy.setFault(this->drawConnectionFault());
    this->schedule(this->drawFaultDuration(), [&proxy] { proxy.setFault(ConnectionFault::None); });
}

void FaultSchedule::blackholeConnections()
{
    for (std::size_t i = 0; i < this->site.instanceCount(); i++) {
        this->site.storeProxy(i).blackholeOpenConnections();
        this->site.callersProxy(i).blackholeOpenConnections();
    }
    for (std::size_t i = 0; i < this->site.workerCount(); i++)
        this->site.workerProxy(i).blackholeOpenConnections();
}

void FaultSchedule::restartWorker()
{
    this->site.restartWorker(this->drawWorker());
}

void FaultSchedule::drainWorker()
{
    const std::size_t worker = this->drawWorker();
    this->site.setDraining(worker, true);
    this->schedule(this->drawFaultDuration(),
                   [this, worker] { this->site.setDraining(worker, false); });
}

void FaultSchedule::delayOrders()
{
    const std::size_t worker = this->drawWorker();
    this->site.setOrdersDelayed(worker, true);
    this->schedule(this->drawFaultDuration(),
                   [this, worker] { this->site.setOrdersDelayed(worker, false); });
}

void FaultSchedule::restartWorkersUnderOldIds()
{
    const std::size_t count = this->random(3) == 0 ? 1 + this->random(4) : 1;
    for (std::size_t i = 0; i < count; i++)
        this->restartUnderOldId(this->drawWorker());
    if (this->random(4) == 0)
        this->schedule(this->drawDuration(Duration{}, seconds(3)), [this] { this->killLeader(); });
}

/// The new process executes polls that are sent during the dark time, and for up to 2 s after it
/// executes polls late. Orders that are sent during the dark time are dropped, so that no late
/// start order takes part; the fault "late orders to a restarted worker" covers those.
void FaultSchedule::restartUnderOldId(std::size_t worker)
{
    const Duration darkTime = this->drawDuration(milliseconds(100), milliseconds(800));
    this->site.restartWorkerSilently(worker);
    this->site.setOrdersDropped(worker, true);
    this->schedule(darkTime, [this, worker] { this->site.setOrdersDropped(worker, false); });
    this->site.setPollDelay(worker, this->drawDuration(darkTime, darkTime + milliseconds(1500)));
    this->schedule(darkTime + this->drawDuration(Duration{}, seconds(2)),
                   [this, worker] { this->site.setPollDelay(worker, Duration{}); });
    this->schedule(darkTime + this->drawDuration(Duration{}, milliseconds(2500)),
                   [this, worker] { this->site.publishWorker(worker); });
    this->schedule(darkTime + this->drawDuration(milliseconds(50), seconds(2)),
                   [this, worker] { this->cutWorkerOff(worker); });
}

void FaultSchedule::cutWorkerOff(std::size_t worker)
{
    static constexpr ConnectionFault cuts[]
        = {ConnectionFault::Blackhole, ConnectionFault::DropToClient, ConnectionFault::Reset};
    FaultProxy &proxy = this->site.workerProxy(worker);
    proxy.setFault(cuts[this->random(std::size(cuts))]);
    this->schedule(this->drawDuration(seconds(1), seconds(6)),
                   [&proxy] { proxy.setFault(ConnectionFault::None); });
}

void FaultSchedule::killLeader()
{
    const std::optional<std::size_t> leader = this->site.leader();
    if (leader && !this->stopped)
        this->site.signalInstance(*leader, SIGKILL);
}

void FaultSchedule::delayPolls()
{
    const std::size_t worker = this->drawWorker();
    this->site.setPollDelay(worker, this->drawDuration(milliseconds(200), seconds(3)));
    this->schedule(this->drawFaultDuration(),
                   [this, worker] { this->site.setPollDelay(worker, Duration{}); });
}

void FaultSchedule::leavePollsUnanswered()
{
    const std::size_t worker = this->drawWorker();
    this->site.setPollsUnanswered(worker, true);
    this->schedule(this->drawFaultDuration(),
                   [this, worker] { this->site.setPollsUnanswered(worker, false); });
}

void FaultSchedule::restartWorkerWithLateOrders()
{
    const std::size_t worker = this->drawWorker();
    this->site.setOrdersDelayed(worker, true);
    this->schedule(this->drawDuration(milliseconds(100), milliseconds(800)), [this, worker] {
        this->site.restartWorkerSilently(worker);
        this->site.setOrdersDelayed(worker, false);
    });
    this->schedule(this->drawDuration(milliseconds(800), milliseconds(3300)),
                   [this, worker] { this->site.publishWorker(worker); });
}

void FaultSchedule::changeKeys()
{
    const std::string key = "key-" + std::to_string(++this->keyNumber);
    this->site.configure({key});
    this->clients.switchKey(key, this->site.now());
}

void FaultSchedule::changeConfiguration()
{
    this->site.configure({"key-" + std::to_string(this->keyNumber)});
}

std::string FaultSchedule::summary() const
{
    std::string text;
    for (const auto &[name, count] : this->counts)
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + name;
    return text;
}

/// Up to an hour in each direction, half of them up to five seconds.
Duration FaultSchedule::drawClockError()
{
    const bool isLarge = this->random(2) == 0;
    const Duration error
        = this->drawDuration(milliseconds(500), isLarge ? seconds(3600) : seconds(5));
    return this->random(2) == 0 ? error : -error;
}

/// The clock stays wrong until it is set again.
void FaultSchedule::setClock()
{
    const std::size_t instance = this->drawInstance();
    const bool returns = this->random(2) == 0;
    this->site.setClockError(instance, returns ? Duration{} : this->drawClockError());
}

void FaultSchedule::setAllClocks()
{
    const Duration error = this->drawClockError();
    for (std::size_t i = 0; i < this->site.instanceCount(); i++)
        this->site.setClockError(i, error);
}

} // namespace Hibiscus::Soak
