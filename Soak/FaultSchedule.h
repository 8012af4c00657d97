#pragma once

#include <Soak/SoakClients.h>
#include <Soak/SoakSite.h>

#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

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
        /// Names of the faults to draw from; empty for those that are drawn by default.
        std::vector<std::string> only;
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
        bool isDefault = true; ///< Is drawn unless faults are named.
    };
    static const NamedFault faults[];

    void selectFaults();
    void injectNext();
    void schedule(Duration delay, std::function<void()> step);
    Duration drawFaultDuration();
    /// Returns a duration of at least `min` and less than `max`.
    Duration drawDuration(Duration min, Duration max);
    std::size_t drawInstance();
    std::size_t drawWorker();

    void killInstance();
    void killAllInstances();
    void stopInstance();
    void stopAllInTurn();
    void pauseInstance();
    void reloadSettings();
    /// The store executes the commits of one instance late and without an answer.
    void delayCommits();
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
    void restartWorkersUnderOldIds();
    void restartUnderOldId(std::size_t worker);
    void cutWorkerOff(std::size_t worker);
    void killLeader();
    void delayPolls();
    void leavePollsUnanswered();
    void restartWorkerWithLateOrders();
    void changeKeys();
    void changeConfiguration();
    void setClock();
    void setAllClocks();
    Duration drawClockError();

    ConnectionFault drawConnectionFault();

    boost::asio::io_context &loop;
    SoakSite &site;
    SoakClients &clients;
    Settings settings;
    pcg32 random;
    std::vector<const NamedFault *> selected;
    std::map<std::string, std::size_t> counts;
    std::size_t keyNumber = 1;
    bool stopped = false;
};

} // namespace Hibiscus::Soak
