#pragma once

#include <Config/Authenticator.h>
#include <Config/InstanceSettings.h>
#include <Entry/EntryMachine.h>
#include <Hibiscusd/BlockingClients.h>
#include <Hibiscusd/CallTable.h>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace Hibiscus {

/// State that HTTP threads share with the actor that runs the entry machine.
struct EntrySharedState
{
    CallTable<CallerAnswer> callers;
    CallTable<ChangeReply> changes;
    CallTable<std::string> pages; ///< Texts of the status, configuration and metrics pages.
    Authenticator authenticator;
    std::atomic<bool> ready = false;
    std::atomic<bool> drained = false;
};

/// An event for the entry machine, applied with the time at which the actor processes it.
struct MachineEvent
{
    std::function<void(EntryMachine &machine, TimePoint now, EntryActions &out)> apply;
};

/// Runs one entry machine as a CAF actor. Events arrive as messages; actions go to the blocking
/// clients, the peer link and waiting HTTP threads.
class EntryProcess
{
public:
    EntryProcess(caf::actor_system &system, const InstanceSettings &settings,
                 std::string clusterKey, EntrySharedState &shared);

    /// Sends an event to the actor, from any thread.
    void post(MachineEvent event);
    /// Stops the actor and waits until it has ended.
    void stop();

    /// Returns the current time of the process's monotonic clock.
    static TimePoint currentTime();

private:
    caf::actor_system &system;
    caf::actor actor;
};

} // namespace Hibiscus
