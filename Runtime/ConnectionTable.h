#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

namespace Hibiscus::Runtime {

/// What a server's connection is doing.
enum class ConnectionState : std::uint8_t {
    Fresh, ///< Accepted; nothing has arrived yet.
    Idle, ///< Waits for a further request.
    Reading,
    Handling, ///< The whole request was passed to the handler.
    Writing,
    Closing, ///< The last response was sent; input is discarded.
    Count,
};

/// Why a server closed or refused a connection.
enum class CloseReason : std::uint8_t {
    ConnectionLimit, ///< Made room for a newer connection.
    NoRoom, ///< Refused when accepted: every other connection had a request in the handler.
    DescriptorLimit, ///< The process had no descriptor left for a new connection.
    MemoryLimit, ///< Made room for a newer request, or found none itself.
    HeaderLimit,
    BodyLimit,
    FramingLimit, ///< Chunk extensions or trailers.
    Malformed,
    IdleTimeout,
    ReadTimeout,
    WriteTimeout,
    Drain, ///< The process stops.
    Count,
};

/// Name of the value in logs and metrics.
std::string_view nameOf(CloseReason reason);

/// The connections of one server. Decides which of them make room when the server's connections or
/// the memory for requests and responses are used up. A connection whose request is in the handler
/// is never chosen, since its request may already have taken effect.
class ConnectionTable
{
public:
    class Member
    {
    public:
        /// Closes the connection and removes it from the table before it returns.
        virtual void closeFor(CloseReason reason) = 0;

    protected:
        ~Member() = default;

    private:
        friend class ConnectionTable;
        ConnectionState state = ConnectionState::Fresh;
        std::uint64_t order = 0; ///< Rises with the time at which the request or the wait began.
        std::uint64_t heldBytes = 0;
        bool isListed = false;
    };

    struct Settings
    {
        std::size_t maxConnections = 3000;
        std::uint64_t maxHeldBytes = std::uint64_t{16} * 1024 * 1024;
    };

    void setLimits(const Settings &limits) { this->limits = limits; }
    /// Closes connections until another one has room; returns whether it has.
    bool makeRoom();
    /// Closes the connection that is the least loss; returns whether there was one to close.
    bool closeOne(CloseReason reason);

    void add(Member &member);
    void remove(Member &member);
    void enter(Member &member, ConnectionState state);
    /// Sets the bytes that the member holds. Closes the unfinished requests that began first until
    /// the sum is within the limit. Returns false if the member itself has to be closed. A member
    /// that alone holds bytes always may.
    [[nodiscard]] bool hold(Member &member, std::uint64_t bytes);

    std::size_t size() const;
    std::size_t count(ConnectionState state) const { return this->membersIn(state).size(); }
    std::uint64_t heldBytes() const { return this->held; }
    /// Closes all members in the state.
    void closeAll(ConnectionState state, CloseReason reason);

private:
    using Members = std::map<std::uint64_t, Member *>;

    const Members &membersIn(ConnectionState state) const
    {
        return this->members[static_cast<std::size_t>(state)];
    }
    Members &membersIn(ConnectionState state)
    {
        return this->members[static_cast<std::size_t>(state)];
    }
    Member *oldestIn(ConnectionState state) const;
    Member *oldestUnfinished() const;

    Settings limits;
    std::array<Members, static_cast<std::size_t>(ConnectionState::Count)> members;
    std::uint64_t lastOrder = 0;
    std::uint64_t held = 0;
};

} // namespace Hibiscus::Runtime
