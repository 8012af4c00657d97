#include <Wire/PeerConnection.h>
#include <Wire/PeerLink.h>

#include <arpa/inet.h>
#include <caf/actor_system_config.hpp>
#include <caf/io/middleman.hpp>
#include <caf/scoped_actor.hpp>
#include <condition_variable>
#include <filesystem>
#include <future>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Hibiscus {
namespace {

const std::string key = "0123456789abcdef0123456789abcdef";
const std::string loopback = "127.0.0.1";

/// Upper limit for expected events; no test result depends on a shorter time.
constexpr seconds eventTimeout(30);

struct Received
{
    std::string from;
    PeerMessage message;

    bool operator==(const Received &) const = default;
};

class SystemConfig : public caf::actor_system_config
{
public:
    SystemConfig()
    {
        this->load<caf::io::middleman>();
        this->set("scheduler.max-threads", 2U);
    }
};

/// The peer link of one instance in its own actor system, with the messages and log lines that it
/// reported.
class LinkedInstance
{
public:
    explicit LinkedInstance(std::string name, std::uint16_t port = 0, std::string clusterKey = key)
        : name(std::move(name))
    {
        PeerLinkSettings settings;
        settings.instance = this->name;
        settings.host = loopback;
        settings.port = port;
        settings.clusterKey = std::move(clusterKey);
        settings.reconnect = milliseconds(20);
        PeerLinkHandlers handlers;
        handlers.listening
            = [this](std::uint16_t opened) { this->update([&] { this->listeningPort = opened; }); };
        handlers.received = [this](const std::string &from, PeerMessage message) {
            this->update([&] { this->inbox.push_back({from, std::move(message)}); });
        };
        handlers.log = [this](const std::string &text) {
            this->update([&] { this->lines.push_back(text); });
        };
        this->link = startPeerLink(this->system, settings, std::move(handlers));
        EXPECT_TRUE(this->waitFor([this] { return this->listeningPort != 0; }));
    }

    ~LinkedInstance() { this->stop(); }

    LinkedInstance(const LinkedInstance &) = delete;
    LinkedInstance &operator=(const LinkedInstance &) = delete;

    /// Stops the link and waits until it has ended.
    void stop()
    {
        stopPeerLink(this->system, this->link);
        caf::scoped_actor waiting(this->system);
        waiting->wait_for(this->link);
    }

    PeerAddress address() const { return {this->name, loopback, this->listeningPort}; }

    void setPeers(std::vector<PeerAddress> peers)
    {
        Hibiscus::setPeers(this->system, this->link, std::move(peers));
    }

    void send(const std::string &to, PeerMessage message)
    {
        sendToPeer(this->system, this->link, {to, std::move(message)});
    }

    template <class Condition>
    bool waitFor(Condition condition)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, eventTimeout, condition);
    }

    bool waitForLogLine(const std::string &text, std::size_t count = 1)
    {
        return this->waitFor([&] { return this->countLogLines(text) >= count; });
    }

    bool waitForMessages(std::size_t count)
    {
        return this->waitFor([&] { return this->inbox.size() >= count; });
    }

    std::vector<Received> messages()
    {
        const std::lock_guard lock(this->mutex);
        return this->inbox;
    }

private:
    std::size_t countLogLines(const std::string &text) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->lines, [&](const std::string &line) { return line.starts_with(text); }));
    }

    template <class Change>
    void update(Change change)
    {
        const std::lock_guard lock(this->mutex);
        change();
        this->changed.notify_all();
    }

    std::string name;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint16_t listeningPort = 0;
    std::vector<Received> inbox;
    std::vector<std::string> lines;
    SystemConfig config;
    caf::actor_system system{this->config};
    caf::actor link;
};

/// A plain TCP client that is not an instance.
class PlainClient
{
public:
    explicit PlainClient(std::uint16_t port)
        : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const timeval limit{eventTimeout.count(), 0};
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(
            ::connect(this->descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)),
            0);
    }

    ~PlainClient() { ::close(this->descriptor); }

    PlainClient(const PlainClient &) = delete;
    PlainClient &operator=(const PlainClient &) = delete;

    void send(const std::vector<std::uint8_t> &bytes) const
    {
        this->send({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
    }

    void send(std::string_view bytes) const
    {
        EXPECT_EQ(::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }

    std::vector<std::uint8_t> receiveSome() const
    {
        std::vector<std::uint8_t> bytes(1024);
        const ssize_t size = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
        bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
        return bytes;
    }

    /// True if the server closes the connection without having sent a byte.
    bool isClosedWithoutData() const
    {
        char byte = 0;
        const ssize_t size = ::recv(this->descriptor, &byte, 1, 0);
        return size == 0 || (size < 0 && errno == ECONNRESET);
    }

private:
    int descriptor;
};

std::size_t countDescriptors()
{
    const std::filesystem::directory_iterator entries("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

/// Polls for conditions that no handler reports.
template <class Condition>
bool waitUntil(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + eventTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::yield();
    }
    return true;
}

bool waitUntilLinked(LinkedInstance &left, const std::string &leftName, LinkedInstance &right,
                     const std::string &rightName, std::size_t count = 1)
{
    return left.waitForLogLine("Linked with " + rightName, count)
        && right.waitForLogLine("Linked with " + leftName, count);
}

TEST(PeerLink, TwoInstancesExchangeMessagesBothWays)
{
    LinkedInstance a("a");
    LinkedInstance b("b");
    a.setPeers({b.address()});
    b.setPeers({a.address()});
    ASSERT_TRUE(waitUntilLinked(a, "a", b, "b"));
    constexpr std::uint64_t messageCount = 1000;
    for (std::uint64_t i = 0; i < messageCount; ++i) {
        a.send("b", ConfigPull{i});
        b.send("a", ConfigPull{i});
    }
    ASSERT_TRUE(a.waitForMessages(messageCount) && b.waitForMessages(messageCount));
    const std::vector<Received> atA = a.messages();
    const std::vector<Received> atB = b.messages();
    for (std::uint64_t i = 0; i < messageCount; ++i) {
        EXPECT_EQ(atA[i], (Received{"b", ConfigPull{i}}));
        EXPECT_EQ(atB[i], (Received{"a", ConfigPull{i}}));
    }
}

TEST(PeerLink, LargeMessagesArriveWhole)
{
    LinkedInstance a("a");
    LinkedInstance b("b");
    a.setPeers({b.address()});
    ASSERT_TRUE(waitUntilLinked(a, "a", b, "b"));
    ConfigPush push;
    push.snapshot.assign(std::size_t(3) * 1024 * 1024, 'x');
    a.send("b", push);
    b.send("a", push);
    ASSERT_TRUE(a.waitForMessages(1) && b.waitForMessages(1));
    EXPECT_EQ(a.messages().front(), (Received{"b", push}));
    EXPECT_EQ(b.messages().front(), (Received{"a", push}));
}

TEST(PeerLink, MessageToTheSendingInstanceIsDeliveredLocally)
{
    LinkedInstance a("a");
    a.send("a", ConfigPull{3});
    ASSERT_TRUE(a.waitForMessages(1));
    EXPECT_EQ(a.messages().front(), (Received{"a", ConfigPull{3}}));
}

TEST(PeerLink, ThreeInstancesReachEachOther)
{
    std::map<std::string, std::unique_ptr<LinkedInstance>> instances;
    for (const char *name : {"a", "b", "c"})
        instances[name] = std::make_unique<LinkedInstance>(name);
    for (auto &[name, instance] : instances) {
        std::vector<PeerAddress> peers;
        peers.reserve(instances.size());
        for (auto &[otherName, other] : instances)
            peers.push_back(other->address());
        instance->setPeers(peers);
    }
    for (auto &[name, instance] : instances) {
        for (auto &[otherName, other] : instances) {
            if (name < otherName) {
                ASSERT_TRUE(waitUntilLinked(*instance, name, *other, otherName));
            }
        }
    }
    for (auto &[name, instance] : instances) {
        for (auto &[otherName, other] : instances)
            instance->send(otherName, ConfigPull{static_cast<std::uint64_t>(name.front())});
    }
    for (auto &[name, instance] : instances) {
        ASSERT_TRUE(instance->waitForMessages(instances.size()));
        std::vector<std::string> senders;
        senders.reserve(instances.size());
        for (const Received &received : instance->messages())
            senders.push_back(received.from);
        std::ranges::sort(senders);
        EXPECT_EQ(senders, (std::vector<std::string>{"a", "b", "c"}));
    }
}

TEST(PeerLink, RestartedPeerIsLinkedAgain)
{
    // Test the restart of the listening and of the dialing instance.
    for (const std::string stays : {"a", "b"}) {
        const std::string leaves = stays == "a" ? "b" : "a";
        LinkedInstance staying(stays);
        auto leaving = std::make_unique<LinkedInstance>(leaves);
        const PeerAddress address = leaving->address();
        staying.setPeers({address});
        leaving->setPeers({staying.address()});
        ASSERT_TRUE(waitUntilLinked(staying, stays, *leaving, leaves));
        leaving.reset();
        ASSERT_TRUE(staying.waitForLogLine("Lost peer " + leaves));
        LinkedInstance back(leaves, address.port);
        back.setPeers({staying.address()});
        ASSERT_TRUE(staying.waitForLogLine("Linked with " + leaves, 2));
        ASSERT_TRUE(back.waitForLogLine("Linked with " + stays));
        back.send(stays, ConfigPull{1});
        staying.send(leaves, ConfigPull{2});
        ASSERT_TRUE(staying.waitForMessages(1) && back.waitForMessages(1));
        EXPECT_EQ(staying.messages().front(), (Received{leaves, ConfigPull{1}}));
        EXPECT_EQ(back.messages().front(), (Received{stays, ConfigPull{2}}));
    }
}

TEST(PeerLink, UnauthenticatedClientReceivesNothingAndDisturbsNoLink)
{
    LinkedInstance a("a");
    LinkedInstance b("b");
    a.setPeers({b.address()});
    ASSERT_TRUE(waitUntilLinked(a, "a", b, "b"));
    const std::string lengthThenGarbage("\x08\0\0\0rubbish!", 12);
    const std::string oversizedLength("\xff\xff\xff\xffrubbish!", 12);
    for (const std::string &garbage :
         {std::string("GET / HTTP/1.1\r\n\r\n"), lengthThenGarbage, oversizedLength,
          std::string("\0\0\0\0", 4), std::string(60000, '\0')}) {
        const PlainClient client(b.address().port);
        client.send(garbage);
        EXPECT_TRUE(client.isClosedWithoutData());
    }
    ASSERT_TRUE(b.waitForLogLine("Closed "));
    a.send("b", ConfigPull{1});
    ASSERT_TRUE(b.waitForMessages(1));
    EXPECT_EQ(b.messages(), (std::vector<Received>{{"a", ConfigPull{1}}}));
}

TEST(PeerLink, AnInstanceWithAnotherKeyIsNotLinked)
{
    LinkedInstance b("b");
    LinkedInstance impostor("a", 0, "another key of the same size....");
    impostor.setPeers({b.address()});
    ASSERT_TRUE(b.waitForLogLine("Closed 1 unauthenticated connections; last reason: the peer "
                                 "does not hold the cluster key"));
    impostor.send("b", ConfigPull{1});
    LinkedInstance a("a");
    a.setPeers({b.address()});
    ASSERT_TRUE(waitUntilLinked(a, "a", b, "b"));
    a.send("b", ConfigPull{2});
    ASSERT_TRUE(b.waitForMessages(1));
    EXPECT_EQ(b.messages(), (std::vector<Received>{{"a", ConfigPull{2}}}));
}

TEST(PeerLink, ManyIdleClientsExhaustNoDescriptorsAndBlockNoPeer)
{
    LinkedInstance a("a");
    LinkedInstance b("b");
    const std::size_t before = countDescriptors();
    constexpr std::size_t clientCount = 200;
    std::vector<std::unique_ptr<PlainClient>> clients;
    clients.reserve(clientCount);
    for (std::size_t i = 0; i < clientCount; ++i) {
        clients.push_back(std::make_unique<PlainClient>(b.address().port));
        if (i % 2 == 0)
            clients.back()->send(std::string(100, 'x'));
    }
    a.setPeers({b.address()});
    ASSERT_TRUE(waitUntilLinked(a, "a", b, "b"));
    // Descriptors of the clients' own ends, of connections that may still authenticate, and of both
    // ends of the link.
    constexpr std::size_t maxUnauthenticated = 64;
    EXPECT_TRUE(waitUntil(
        [&] { return countDescriptors() <= before + clientCount + maxUnauthenticated + 2; }));
}

/// Authenticates as instance "a" and reads nothing afterwards.
void authenticateWithoutReading(const PlainClient &socket)
{
    PeerConnectionSettings settings;
    settings.handshake = {PeerSide::Dialer, "a", "b", key, {}};
    settings.largestFrame = 1024;
    PeerConnection connection(settings, TimePoint());
    socket.send(connection.start());
    while (!connection.isEstablished()) {
        const PeerInput input = connection.receive(socket.receiveSome(), TimePoint());
        ASSERT_EQ(input.closeReason, "");
        socket.send(input.reply);
    }
}

TEST(PeerLink, PeerThatDoesNotReadIsDroppedAndItsDescriptorClosed)
{
    LinkedInstance b("b");
    const std::size_t before = countDescriptors();
    const PlainClient socket(b.address().port);
    authenticateWithoutReading(socket);
    ASSERT_TRUE(b.waitForLogLine("Linked with a"));
    ConfigPush push;
    push.snapshot.assign(std::size_t(3) * 1024 * 1024, 'x');
    for (int i = 0; i < 10; ++i)
        b.send("a", push);
    EXPECT_TRUE(b.waitForLogLine("Lost peer a: the peer does not read its frames"));
    EXPECT_TRUE(waitUntil([&] { return countDescriptors() == before + 1; }));
}

void stopWithPeerThatDoesNotRead()
{
    std::unique_ptr<PlainClient> socket; // Has to outlive the instance.
    LinkedInstance b("b");
    socket = std::make_unique<PlainClient>(b.address().port);
    authenticateWithoutReading(*socket);
    ASSERT_TRUE(b.waitForLogLine("Linked with a"));
    ConfigPush push;
    push.snapshot.assign(std::size_t(3) * 1024 * 1024, 'x');
    for (int i = 0; i < 4; ++i)
        b.send("a", push);
}

TEST(PeerLink, PeerThatDoesNotReadDoesNotBlockAStop)
{
    // CAF requires that an actor system is destroyed in the thread that created it.
    auto stopped = std::async(std::launch::async, stopWithPeerThatDoesNotRead);
    EXPECT_EQ(stopped.wait_for(eventTimeout), std::future_status::ready);
}

TEST(PeerLink, StopSendsPendingMessagesFirst)
{
    LinkedInstance b("b");
    constexpr std::uint64_t messageCount = 100;
    {
        LinkedInstance a("a");
        a.setPeers({b.address()});
        ASSERT_TRUE(waitUntilLinked(a, "a", b, "b"));
        ConfigPush push;
        push.snapshot.assign(100'000, 'x');
        for (std::uint64_t i = 0; i < messageCount; ++i)
            a.send("b", push);
    }
    EXPECT_TRUE(b.waitForMessages(messageCount));
}

} // namespace
} // namespace Hibiscus
