#include <Soak/FaultSchedule.h>

#include <boost/asio/steady_timer.hpp>
#include <csignal>

namespace Hibiscus::Soak {

const FaultSchedule::NamedFault FaultSchedule::faults[] = {
    {"kill", &FaultSchedule::killInstance},
    {"kill all", &FaultSchedule::killAllInstances},
    {"stop", &FaultSchedule::stopInstance},
    {"stop in turn", &FaultSchedule::stopInTurn},
    {"pause", &FaultSchedule::pauseInstance},
    {"hang up", &FaultSchedule::hangUp},
    {"store fails one", &FaultSchedule::failStore},
    {"store fails all", &FaultSchedule::failStoreForAll},
    {"history forgotten", &FaultSchedule::forgetHistory},
    {"store path", &FaultSchedule::harmStorePath},
    {"callers path", &FaultSchedule::harmCallersPath},
    {"worker path", &FaultSchedule::harmWorkerPath},
    {"silent connections", &FaultSchedule::silenceConnections},
    {"worker anew", &FaultSchedule::startWorkerAnew},
    {"worker drains", &FaultSchedule::drainWorker},
    {"late orders", &FaultSchedule::slowOrders},
    {"keys change", &FaultSchedule::changeKeys},
    {"configuration", &FaultSchedule::changeConfiguration},
};

FaultSchedule::FaultSchedule(boost::asio::io_context &loop, SoakSite &site, SoakClients &clients,
                             std::uint64_t seed, const Settings &settings)
    : loop(loop)
    , site(site)
    , clients(clients)
    , settings(settings)
    , random(seed)
{}

void FaultSchedule::start()
{
    this->next();
}

void FaultSchedule::later(Duration delay, std::function<void()> step)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop, delay);
    timer->async_wait([timer, step = std::move(step)](boost::system::error_code error) {
        if (!error)
            step();
    });
}

void FaultSchedule::next()
{
    if (this->stopped)
        return;
    const NamedFault &drawn = faults[this->random(static_cast<std::uint32_t>(std::size(faults)))];
    this->counts[drawn.name]++;
    (this->*drawn.fault)();
    const Duration pause
        = Duration(this->random(static_cast<std::uint32_t>(this->settings.longestPause.count())));
    this->later(pause, [this] { this->next(); });
}

Duration FaultSchedule::drawSpan()
{
    const Duration range = this->settings.longestFault - this->settings.shortestFault;
    return this->settings.shortestFault
        + Duration(this->random(static_cast<std::uint32_t>(range.count())));
}

std::size_t FaultSchedule::anyInstance()
{
    return this->random(static_cast<std::uint32_t>(this->site.instanceCount()));
}

std::size_t FaultSchedule::anyWorker()
{
    return this->random(static_cast<std::uint32_t>(this->site.workerCount()));
}

void FaultSchedule::killInstance()
{
    this->site.signalInstance(this->anyInstance(), SIGKILL);
}

void FaultSchedule::killAllInstances()
{
    for (std::size_t i = 0; i < this->site.instanceCount(); i++)
        this->site.signalInstance(i, SIGKILL);
}

void FaultSchedule::stopInstance()
{
    this->site.signalInstance(this->anyInstance(), SIGTERM);
}

void FaultSchedule::stopInTurn()
{
    const Duration gap = milliseconds(500);
    for (std::size_t i = 0; i < this->site.instanceCount(); i++)
        this->later(gap * static_cast<Duration::rep>(i), [this, i] {
            if (!this->stopped)
                this->site.signalInstance(i, SIGTERM);
        });
}

void FaultSchedule::pauseInstance()
{
    const std::size_t instance = this->anyInstance();
    this->site.signalInstance(instance, SIGSTOP);
    this->later(this->drawSpan(),
                [this, instance] { this->site.signalInstance(instance, SIGCONT); });
}

void FaultSchedule::hangUp()
{
    const std::size_t instance = this->anyInstance();
    this->site.changeSettings(instance);
    this->site.signalInstance(instance, SIGHUP);
}

void FaultSchedule::failStore()
{
    static constexpr StoreBehavior paths[]
        = {StoreBehavior::Unresponsive, StoreBehavior::Rejecting, StoreBehavior::LosesAnswers,
           StoreBehavior::ExecutesLate};
    const std::size_t instance = this->anyInstance();
    this->site.setStorePath(instance, paths[this->random(std::size(paths))]);
    this->later(this->drawSpan(),
                [this, instance] { this->site.setStorePath(instance, StoreBehavior::Normal); });
}

void FaultSchedule::failStoreForAll()
{
    this->site.setStorePathOfAll(this->random(2) == 0 ? StoreBehavior::Unresponsive
                                                      : StoreBehavior::Rejecting);
    this->later(this->drawSpan(), [this] { this->site.setStorePathOfAll(StoreBehavior::Normal); });
}

void FaultSchedule::forgetHistory()
{
    this->site.store.compactHistory();
}

PathFault FaultSchedule::drawPathFault()
{
    static constexpr PathFault drawn[]
        = {PathFault::Delayed, PathFault::Reset, PathFault::CutToServer, PathFault::CutToClient,
           PathFault::Silent};
    return drawn[this->random(std::size(drawn))];
}

void FaultSchedule::harmStorePath()
{
    FaultProxy &proxy = this->site.storeProxy(this->anyInstance());
    proxy.setFault(this->drawPathFault());
    this->later(this->drawSpan(), [&proxy] { proxy.setFault(PathFault::None); });
}

void FaultSchedule::harmCallersPath()
{
    FaultProxy &proxy = this->site.callersProxy(this->anyInstance());
    proxy.setFault(this->drawPathFault());
    this->later(this->drawSpan(), [&proxy] { proxy.setFault(PathFault::None); });
}

void FaultSchedule::harmWorkerPath()
{
    FaultProxy &proxy = this->site.workerProxy(this->anyWorker());
    proxy.setFault(this->drawPathFault());
    this->later(this->drawSpan(), [&proxy] { proxy.setFault(PathFault::None); });
}

void FaultSchedule::silenceConnections()
{
    for (std::size_t i = 0; i < this->site.instanceCount(); i++) {
        this->site.storeProxy(i).silenceOpenConnections();
        this->site.callersProxy(i).silenceOpenConnections();
    }
    for (std::size_t i = 0; i < this->site.workerCount(); i++)
        this->site.workerProxy(i).silenceOpenConnections();
}

void FaultSchedule::startWorkerAnew()
{
    this->site.startWorkerAnew(this->anyWorker());
}

void FaultSchedule::drainWorker()
{
    const std::size_t worker = this->anyWorker();
    this->site.setDraining(worker, true);
    this->later(this->drawSpan(), [this, worker] { this->site.setDraining(worker, false); });
}

void FaultSchedule::slowOrders()
{
    const std::size_t worker = this->anyWorker();
    this->site.setSlowToObey(worker, true);
    this->later(this->drawSpan(), [this, worker] { this->site.setSlowToObey(worker, false); });
}

void FaultSchedule::changeKeys()
{
    const std::string key = "key-" + std::to_string(++this->keyNumber);
    this->site.configure({key});
    this->clients.useKey(key, this->site.now());
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

} // namespace Hibiscus::Soak
