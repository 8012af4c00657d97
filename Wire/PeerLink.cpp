#include <Wire/PeerLink.h>

#include <Wire/PeerCodec.h>
#include <Wire/PeerConnection.h>
#include <Wire/PeerDialer.h>

#include <caf/all.hpp>
#include <caf/io/all.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <openssl/rand.h>
#include <sys/socket.h>

namespace Hibiscus {
namespace {

/// Messages to the broker, from the link's functions and from its own timer.
struct PeerLinkPeers
{
    std::vector<PeerAddress> peers;
};

struct PeerLinkStop
{};

struct PeerLinkTick
{};

} // namespace
} // namespace Hibiscus

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Hibiscus::PeerSend)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Hibiscus::PeerLinkPeers)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Hibiscus::PeerLinkStop)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Hibiscus::PeerLinkTick)

namespace Hibiscus {
namespace {

using caf::io::connection_handle;

constexpr std::size_t shortestClusterKey = 16; // Bytes.
constexpr std::size_t readSize = std::size_t(16) * 1024; // Bytes.
constexpr std::size_t maxPendingInbound = 64;
constexpr seconds stopTimeout(1);
const std::string connectionClosed = "the connection was closed";

TimePoint currentTime()
{
    const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

/// State and handlers of the broker.
class PeerBroker
{
public:
    PeerBroker(caf::io::broker *broker, PeerLinkSettings settings, PeerLinkHandlers handlers)
        : broker(broker)
        , settings(std::move(settings))
        , handlers(std::move(handlers))
    {}

    void start()
    {
        if (this->settings.clusterKey.size() < shortestClusterKey) {
            this->handlers.log("The cluster key is too short; no peer is linked.");
            return;
        }
        this->tick();
    }

    void setPeers(std::vector<PeerAddress> peers) { this->peers = std::move(peers); }

    void send(PeerSend &send)
    {
        if (send.instance == this->settings.instance) {
            this->handlers.received(send.instance, std::move(send.message));
            return;
        }
        const auto found = this->linked.find(send.instance);
        if (found == this->linked.end())
            return;
        const connection_handle handle = found->second;
        const auto frame
            = this->connections.at(handle).send(encodePeerMessage(send.message), currentTime());
        if (!frame) {
            this->handlers.log("Dropped a message to " + send.instance
                               + ": it exceeds the largest frame.");
            return;
        }
        this->write(handle, *frame);
        this->closeIfDue(handle);
    }

    void tick()
    {
        this->broker->delayed_send(this->broker, this->settings.reconnect, PeerLinkTick{});
        if (this->isStopping()) {
            this->finishStop();
            return;
        }
        this->listen();
        this->checkConnections();
        this->dialMissingPeers();
        this->logRejections();
    }

    void handleAccepted(connection_handle handle)
    {
        // Clients that connect without authenticating must not exhaust the file descriptors.
        if (this->pendingInbound.size() >= maxPendingInbound)
            this->dropConnection(this->pendingInbound.front(),
                                 "too many connections are unauthenticated");
        this->pendingInbound.push_back(handle);
        this->openConnection(handle, PeerSide::Listener, {});
    }

    void receive(connection_handle handle, const std::vector<char> &bytes)
    {
        const auto found = this->connections.find(handle);
        if (found == this->connections.end())
            return;
        const std::string_view view(bytes.data(), bytes.size());
        PeerInput input = found->second.receive(bytesOf(view), currentTime());
        this->write(handle, input.reply);
        if (input.established)
            this->handleEstablished(handle);
        for (const std::string &reason : input.ignored)
            this->handlers.log("Ignored a frame of " + found->second.peer() + ": its message "
                               + reason + ".");
        for (PeerMessage &message : input.messages)
            this->handlers.received(found->second.peer(), std::move(message));
        if (!input.closeReason.empty())
            this->dropConnection(handle, input.closeReason);
    }

    void handleWritten(connection_handle handle, std::size_t bytes)
    {
        const auto found = this->connections.find(handle);
        if (found == this->connections.end())
            return;
        found->second.recordWritten(bytes);
        if (this->isStopping())
            this->finishStop();
    }

    void handleClosed(connection_handle handle)
    {
        this->removeConnection(handle, connectionClosed);
    }

    void handleAcceptorClosed() { this->isListening = false; }

    void stop()
    {
        this->stopUntil = currentTime() + stopTimeout;
        this->finishStop();
    }

private:
    void listen()
    {
        if (this->isListening)
            return;
        const auto listener
            = this->broker->add_tcp_doorman(this->settings.port, this->settings.host.c_str(), true);
        if (!listener) {
            if (!std::exchange(this->listenFailed, true))
                this->handlers.log("The peer port cannot be opened; retrying.");
            return;
        }
        this->isListening = true;
        this->listenFailed = false;
        this->settings.port = listener->second;
        this->handlers.listening(listener->second);
    }

    void openConnection(connection_handle handle, PeerSide side, const std::string &expectedPeer)
    {
        PeerConnectionSettings connection;
        connection.handshake
            = {side, this->settings.instance, expectedPeer, this->settings.clusterKey, {}};
        if (RAND_bytes(connection.handshake.nonce.data(),
                       static_cast<int>(connection.handshake.nonce.size()))
            != 1) {
            this->closeConnection(handle);
            return;
        }
        connection.largestFrame = this->settings.largestFrame;
        connection.largestBacklog = this->settings.largestBacklog;
        connection.handshakeTimeout = this->settings.handshakeTimeout;
        connection.keepAlive = this->settings.keepAlive;
        connection.silenceTimeout = this->settings.silenceTimeout;
        const auto [position, isNew]
            = this->connections.try_emplace(handle, std::move(connection), currentTime());
        this->broker->ack_writes(handle, true);
        this->broker->configure_read(handle, caf::io::receive_policy::at_most(readSize));
        this->write(handle, position->second.start());
    }

    void write(connection_handle handle, const std::vector<std::uint8_t> &bytes)
    {
        if (bytes.empty())
            return;
        this->broker->write(handle, bytes.size(), bytes.data());
        this->broker->flush(handle);
    }

    void handleEstablished(connection_handle handle)
    {
        const std::string &peer = this->connections.at(handle).peer();
        this->removePending(handle, peer);
        // The peer opens a new connection only after it has given up the older one.
        const auto older = this->linked.find(peer);
        if (older != this->linked.end())
            this->dropConnection(older->second, "a newer connection replaced this one");
        this->linked[peer] = handle;
        this->handlers.log("Linked with " + peer + ".");
    }

    // CAF closes a connection only once the peer has read all data and closed its side, so a
    // connection to a peer that does neither would stay open forever. The socket is therefore also
    // shut down; the id of a CAF handle is the descriptor.
    void closeConnection(connection_handle handle)
    {
        this->broker->close(handle);
        ::shutdown(static_cast<int>(handle.id()), SHUT_RDWR);
    }

    void dropConnection(connection_handle handle, const std::string &reason)
    {
        this->removeConnection(handle, reason);
        this->closeConnection(handle);
    }

    void removeConnection(connection_handle handle, const std::string &reason)
    {
        const auto found = this->connections.find(handle);
        if (found == this->connections.end())
            return;
        if (found->second.isEstablished()) {
            const std::string &peer = found->second.peer();
            this->handlers.log("Lost peer " + peer + ": " + reason + ".");
            this->linked.erase(peer);
        } else {
            this->removePending(handle, found->second.peer());
            this->recordRejection(found->second.peer(), reason);
        }
        this->connections.erase(found);
    }

    void removePending(connection_handle handle, const std::string &peer)
    {
        std::erase(this->pendingInbound, handle);
        const auto found = this->pendingOutbound.find(peer);
        if (found != this->pendingOutbound.end() && found->second == handle)
            this->pendingOutbound.erase(found);
    }

    void closeIfDue(connection_handle handle)
    {
        const std::string reason = this->connections.at(handle).closeReason(currentTime());
        if (!reason.empty())
            this->dropConnection(handle, reason);
    }

    void checkConnections()
    {
        const TimePoint now = currentTime();
        std::vector<connection_handle> handles;
        handles.reserve(this->connections.size());
        for (auto &[handle, connection] : this->connections) {
            this->write(handle, connection.keepAlive(now));
            handles.push_back(handle);
        }
        for (const connection_handle &handle : handles)
            this->closeIfDue(handle);
    }

    void dialMissingPeers()
    {
        for (const PeerAddress &peer : this->peers) {
            const bool isDialer = this->settings.instance < peer.instance;
            if (isDialer && !this->linked.contains(peer.instance)
                && !this->pendingOutbound.contains(peer.instance))
                this->dial(peer);
        }
    }

    // CAF's own connect blocks, so a socket that is still connecting is handed to the broker
    // instead.
    void dial(const PeerAddress &peer)
    {
        const auto descriptor = beginConnection(peer);
        if (!descriptor)
            return;
        const connection_handle handle = this->broker->add_scribe(*descriptor);
        this->pendingOutbound[peer.instance] = handle;
        this->openConnection(handle, PeerSide::Dialer, peer.instance);
    }

    // Failed attempts to dial an absent peer are expected and not recorded.
    void recordRejection(const std::string &called, const std::string &reason)
    {
        if (!called.empty() && reason == connectionClosed)
            return;
        ++this->rejections;
        this->lastRejection = reason;
    }

    // Logs at most one line per tick, so that unauthenticated clients cannot flood the log.
    void logRejections()
    {
        if (this->rejections == 0)
            return;
        this->handlers.log("Closed " + std::to_string(this->rejections)
                           + " unauthenticated connections; last reason: " + this->lastRejection
                           + ".");
        this->rejections = 0;
    }

    bool isStopping() const { return this->stopUntil.has_value(); }

    // If a broker quits while bytes are unwritten, CAF never ends the connection and the process
    // does not exit. The connections are therefore closed first, and the next tick quits.
    void dropAll()
    {
        while (!this->connections.empty())
            this->dropConnection(this->connections.begin()->first, "this instance is stopping");
    }

    void finishStop()
    {
        const bool hasBacklog = std::ranges::any_of(
            this->connections, [](const auto &entry) { return entry.second.hasBacklog(); });
        if (!hasBacklog)
            this->broker->quit();
        else if (currentTime() >= *this->stopUntil)
            this->dropAll();
    }

    caf::io::broker *broker;
    PeerLinkSettings settings;
    PeerLinkHandlers handlers;
    std::vector<PeerAddress> peers;
    std::map<connection_handle, PeerConnection> connections;
    std::map<std::string, connection_handle> linked; // By authenticated name.
    std::map<std::string, connection_handle> pendingOutbound; // Unauthenticated, by dialed name.
    std::vector<connection_handle> pendingInbound; // Unauthenticated, oldest first.
    std::optional<TimePoint> stopUntil;
    std::string lastRejection;
    std::size_t rejections = 0;
    bool isListening = false;
    bool listenFailed = false;
};

caf::behavior peerBroker(caf::io::broker *self, const PeerLinkSettings &settings,
                         const PeerLinkHandlers &handlers)
{
    const auto state = std::make_shared<PeerBroker>(self, settings, handlers);
    state->start();
    return {
        [state](PeerSend &send) { state->send(send); },
        [state](PeerLinkPeers &message) { state->setPeers(std::move(message.peers)); },
        [state](const PeerLinkStop &) { state->stop(); },
        [state](const PeerLinkTick &) { state->tick(); },
        [state](const caf::io::new_connection_msg &message) {
            state->handleAccepted(message.handle);
        },
        [state](const caf::io::new_data_msg &message) {
            state->receive(message.handle, message.buf);
        },
        [state](const caf::io::data_transferred_msg &message) {
            state->handleWritten(message.handle, message.written);
        },
        [state](const caf::io::connection_closed_msg &message) {
            state->handleClosed(message.handle);
        },
        [state](const caf::io::acceptor_closed_msg &) { state->handleAcceptorClosed(); },
    };
}

} // namespace

caf::actor startPeerLink(caf::actor_system &system, const PeerLinkSettings &settings,
                         PeerLinkHandlers handlers)
{
    return system.middleman().spawn_broker(peerBroker, settings, std::move(handlers));
}

void sendToPeer(caf::actor_system &, const caf::actor &link, PeerSend send)
{
    caf::anon_send(link, std::move(send));
}

void setPeers(caf::actor_system &, const caf::actor &link, std::vector<PeerAddress> peers)
{
    caf::anon_send(link, PeerLinkPeers{std::move(peers)});
}

void stopPeerLink(caf::actor_system &, const caf::actor &link)
{
    caf::anon_send(link, PeerLinkStop{});
}

} // namespace Hibiscus
