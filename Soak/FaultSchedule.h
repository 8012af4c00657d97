#pragma once

#include <Soak/SoakClients.h>
#include <Soak/SoakSite.h>

#include <map>
#include <pcg_random.hpp>
#include <string>

namespace Hibiscus::Soak {

/// Draws faults from a seed and lets them happen one after the other; they overlap where they last.
class FaultSchedule
{
public:
    struct Settings
    {
        Duration longestPause = milliseconds(900); ///< Between two faults.
        Duration shortestFault = milliseconds(400);
        Duration longestFault = milliseconds(4000);
    };

    FaultSchedule(boost::asio::io_context &loop, SoakSite &site, SoakClients &clients,
                  std::uint64_t seed, const Settings &settings);

    void start();
    void stop() { this->stopped = true; }
    /// Faults by kind, for people.
    std::string summary() const;

private:
    using Fault = void (FaultSchedule::*)();
    struct NamedFault
    {
        const char *name;
        Fault fault;
    };
    static const NamedFault faults[];

    void next();
    void later(Duration delay, std::function<void()> step);
    Duration drawSpan();
    std::size_t anyInstance();
    std::size_t anyWorker();

    void killInstance();
    void killAllInstances();
    void stopInstance();
    void stopInTurn();
    void pauseInstance();
    void hangUp();
    void failStore();
    void failStoreForAll();
    void forgetHistory();
    void harmStorePath();
    void harmCallersPath();
    void harmWorkerPath();
    void silenceConnections();
    void startWorkerAnew();
    void drainWorker();
    void slowOrders();
    void changeKeys();
    void changeConfiguration();

    PathFault drawPathFault();

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
