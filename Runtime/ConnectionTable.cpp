#include <Runtime/ConnectionTable.h>

#include <cassert>
#include <iterator>

namespace Hibiscus::Runtime {

std::string_view nameOf(CloseReason reason)
{
    static constexpr std::string_view names[]
        = {"connection limit", "no room",      "descriptor limit", "memory limit",
           "header limit",     "body limit",   "framing limit",    "malformed",
           "idle timeout",     "read timeout", "write timeout",    "drain"};
    static_assert(std::size(names) == static_cast<std::size_t>(CloseReason::Count));
    return names[static_cast<std::size_t>(reason)];
}

bool ConnectionTable::makeRoom()
{
    while (this->size() >= this->limits.maxConnections) {
        if (!this->closeOne(CloseReason::ConnectionLimit))
            return false;
    }
    return true;
}

/// A connection without a request costs its client nothing but a new connection, least of all if it
/// never had a request: an ordinary caller sends one as soon as it is connected.
bool ConnectionTable::closeOne(CloseReason reason)
{
    Member *chosen = this->oldestIn(ConnectionState::Closing);
    if (!chosen)
        chosen = this->oldestIn(ConnectionState::Fresh);
    if (!chosen)
        chosen = this->oldestIn(ConnectionState::Idle);
    if (!chosen)
        chosen = this->oldestUnfinished();
    if (!chosen)
        return false;
    chosen->closeFor(reason);
    return true;
}

void ConnectionTable::add(Member &member)
{
    assert(!member.isListed);
    member.isListed = true;
    member.state = ConnectionState::Fresh;
    member.order = ++this->lastOrder;
    this->membersIn(member.state).emplace(member.order, &member);
}

void ConnectionTable::remove(Member &member)
{
    if (!member.isListed)
        return;
    member.isListed = false;
    this->membersIn(member.state).erase(member.order);
    this->held -= member.heldBytes;
    member.heldBytes = 0;
}

void ConnectionTable::enter(Member &member, ConnectionState state)
{
    if (!member.isListed)
        return;
    this->membersIn(member.state).erase(member.order);
    member.state = state;
    if (state == ConnectionState::Idle || state == ConnectionState::Reading)
        member.order = ++this->lastOrder;
    this->membersIn(state).emplace(member.order, &member);
}

bool ConnectionTable::hold(Member &member, std::uint64_t bytes)
{
    if (!member.isListed)
        return false;
    this->held = this->held - member.heldBytes + bytes;
    member.heldBytes = bytes;
    while (this->held > this->limits.maxHeldBytes && this->held > member.heldBytes) {
        Member *oldest = this->oldestUnfinished();
        if (!oldest || oldest == &member)
            return false;
        oldest->closeFor(CloseReason::MemoryLimit);
    }
    return true;
}

std::size_t ConnectionTable::size() const
{
    std::size_t size = 0;
    for (const Members &inState : this->members)
        size += inState.size();
    return size;
}

void ConnectionTable::closeAll(ConnectionState state, CloseReason reason)
{
    while (Member *oldest = this->oldestIn(state))
        oldest->closeFor(reason);
}

ConnectionTable::Member *ConnectionTable::oldestIn(ConnectionState state) const
{
    const Members &inState = this->membersIn(state);
    return inState.empty() ? nullptr : inState.begin()->second;
}

/// Ordinary callers send their requests and read their responses at once, so the request that began
/// first belongs to a client that does not.
ConnectionTable::Member *ConnectionTable::oldestUnfinished() const
{
    Member *reading = this->oldestIn(ConnectionState::Reading);
    Member *writing = this->oldestIn(ConnectionState::Writing);
    if (!reading || !writing)
        return reading ? reading : writing;
    return reading->order < writing->order ? reading : writing;
}

} // namespace Hibiscus::Runtime
