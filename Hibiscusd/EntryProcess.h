#pragma once

#include <Config/Authenticator.h>
#include <Config/InstanceSettings.h>
#include <Entry/EntryMachine.h>
#include <Hibiscusd/CallTable.h>
#include <Hibiscusd/Lanes.h>

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace Hibiscus {

/// What HTTP threads and lanes share with the actor that holds the machine.
struct EntryShared
{
    CallTable<CallerAnswer> callers;
    CallTable<ChangeReply> changes;
    CallTable<std::string> pages; ///< Texts of the status, configuration and metrics pages.
    Authenticator authenticator;
    std::atomic<bool> ready = false;
    std::atomic<bool> drained = false;
};

/// One thing for the machine to take in at the time at which the actor gets to it.
struct MachineEvent
{
    std::function<void(EntryMachine &machine, TimePoint now, EntryActions &out)> apply;
};

/// Runs one entry machine as a CAF actor: events come as messages, actions go to lanes, the peer
/// link and waiting HTTP threads.
class EntryProcess
{
public:
    EntryProcess(caf::actor_system &system, const InstanceSettings &settings,
                 std::string clusterKey, EntryShared &shared);

    /// From any thread.
    void post(MachineEvent event);
    /// Waits until the actor has ended.
    void stop();

    /// The present time on the process's own time line.
    static TimePoint presentTime();

private:
    caf::actor_system &system;
    caf::actor actor;
};

} // namespace Hibiscus
