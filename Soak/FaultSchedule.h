#pragma once

#include <Soak/SoakClients.h>
#include <Soak/SoakSite.h>

#include <map>
#include <pcg_random.hpp>
#include <string>

namespace Hibiscus::Soak {

/// Injects a sequence of random faults drawn from a seed. Faults that last may overlap.
class FaultSchedule
{
public:
    struct Settings
    {
        Duration maxPause = milliseconds(900); ///< Maximum time between the starts of two faults.
        Duration minFaultDuration = milliseconds(400);
        Duration maxFaultDuration = milliseconds(4000);
    };

    FaultSchedule(boost::asio::io_context &loop, SoakSite &site, SoakClients &clients,
                  std::uint64_t seed, const Settings &settings);

    void start();
    void stop() { this->stopped = true; }
    /// Human-readable count of the injected faults by kind.
    std::string summary() const;

private:
    using Fault = void (FaultSchedule::*)();
    struct NamedFault
    {
        const char *name;
        Fault fault;
    };
    static const NamedFault faults[];

    void injectNext();
    void schedule(Duration delay, std::function<void()> step);
    Duration drawFaultDuration();
    std::size_t drawInstance();
    std::size_t drawWorker();

    void killInstance();
    void killAllInstances();
    void stopInstance();
    void stopAllInTurn();
    void pauseInstance();
    void reloadSettings();
    void failStore();
    void failStoreForAll();
    void compactStoreHistory();
    void failStoreConnections();
    void failClientConnections();
    void failWorkerConnections();
    void blackholeConnections();
    void restartWorker();
    void drainWorker();
    void delayOrders();
    void changeKeys();
    void changeConfiguration();

    ConnectionFault drawConnectionFault();

    boost::asio::io_context &loop;
    SoakSite &site;
    SoakClients &clients;
    Settings settings;
    pcg32 random;
    std::map<std::string, std::size_t> counts;
    std::size_t keyNumber = 1;
    bool stopped = false;
};

} // namespace Hibiscus::Soak
