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

/// How long a test waits for something that has to come; no verdict depends on a shorter time.
constexpr seconds patience(30);

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

/// One instance's link, in an actor system of its own, with everything it reported.
class Node
{
public:
    explicit Node(std::string name, std::uint16_t port = 0, std::string clusterKey = key)
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
            = [this](std::uint16_t opened) { this->note([&] { this->listeningPort = opened; }); };
        handlers.received = [this](const std::string &from, PeerMessage message) {
            this->note([&] { this->inbox.push_back({from, std::move(message)}); });
        };
        handlers.log
            = [this](const std::string &text) { this->note([&] { this->lines.push_back(text); }); };
        this->link = startPeerLink(this->system, settings, std::move(handlers));
        EXPECT_TRUE(this->waitFor([this] { return this->listeningPort != 0; }));
    }

    ~Node() { this->stop(); }

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Returns once the link has ended.
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
        return this->changed.wait_for(lock, patience, condition);
    }

    bool waitForLine(const std::string &text, std::size_t count = 1)
    {
        return this->waitFor([&] { return this->countLines(text) >= count; });
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
    std::size_t countLines(const std::string &text) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->lines, [&](const std::string &line) { return line.starts_with(text); }));
    }

    template <class Change>
    void note(Change change)
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

/// A client that is no instance.
class Stranger
{
public:
    explicit Stranger(std::uint16_t port)
        : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const timeval limit{patience.count(), 0};
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(
            ::connect(this->descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)),
            0);
    }

    ~Stranger() { ::close(this->descriptor); }

    Stranger(const Stranger &) = delete;
    Stranger &operator=(const Stranger &) = delete;

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

    /// True if the other side closes the connection without having sent a byte.
    bool getsNothing() const
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

/// For what no handler reports.
template <class Condition>
bool waitUntil(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::yield();
    }
    return true;
}

bool waitUntilLinked(Node &left, const std::string &leftName, Node &right,
                     const std::string &rightName, std::size_t count = 1)
{
    return left.waitForLine("Linked with " + rightName, count)
        && right.waitForLine("Linked with " + leftName, count);
}

TEST(PeerLink, TwoInstancesExchangeMessagesBothWays)
{
    Node a("a");
    Node b("b");
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
    Node a("a");
    Node b("b");
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

TEST(PeerLink, AnInstanceReachesItself)
{
    Node a("a");
    a.send("a", ConfigPull{3});
    ASSERT_TRUE(a.waitForMessages(1));
    EXPECT_EQ(a.messages().front(), (Received{"a", ConfigPull{3}}));
}

TEST(PeerLink, ThreeInstancesReachEachOther)
{
    std::map<std::string, std::unique_ptr<Node>> nodes;
    for (const char *name : {"a", "b", "c"})
        nodes[name] = std::make_unique<Node>(name);
    for (auto &[name, node] : nodes) {
        std::vector<PeerAddress> peers;
        peers.reserve(nodes.size());
        for (auto &[otherName, other] : nodes)
            peers.push_back(other->address());
        node->setPeers(peers);
    }
    for (auto &[name, node] : nodes) {
        for (auto &[otherName, other] : nodes) {
            if (name < otherName) {
                ASSERT_TRUE(waitUntilLinked(*node, name, *other, otherName));
            }
        }
    }
    for (auto &[name, node] : nodes) {
        for (auto &[otherName, other] : nodes)
            node->send(otherName, ConfigPull{static_cast<std::uint64_t>(name.front())});
    }
    for (auto &[name, node] : nodes) {
        ASSERT_TRUE(node->waitForMessages(nodes.size()));
        std::vector<std::string> senders;
        senders.reserve(nodes.size());
        for (const Received &received : node->messages())
            senders.push_back(received.from);
        std::ranges::sort(senders);
        EXPECT_EQ(senders, (std::vector<std::string>{"a", "b", "c"}));
    }
}

TEST(PeerLink, APeerThatComesBackIsLinkedAgain)
{
    // Either side of the pair may be the one that is replaced.
    for (const std::string stays : {"a", "b"}) {
        const std::string leaves = stays == "a" ? "b" : "a";
        Node staying(stays);
        auto leaving = std::make_unique<Node>(leaves);
        const PeerAddress address = leaving->address();
        staying.setPeers({address});
        leaving->setPeers({staying.address()});
        ASSERT_TRUE(waitUntilLinked(staying, stays, *leaving, leaves));
        leaving.reset();
        ASSERT_TRUE(staying.waitForLine("Lost " + leaves));
        Node back(leaves, address.port);
        back.setPeers({staying.address()});
        ASSERT_TRUE(staying.waitForLine("Linked with " + leaves, 2));
        ASSERT_TRUE(back.waitForLine("Linked with " + stays));
        back.send(stays, ConfigPull{1});
        staying.send(leaves, ConfigPull{2});
        ASSERT_TRUE(staying.waitForMessages(1) && back.waitForMessages(1));
        EXPECT_EQ(staying.messages().front(), (Received{leaves, ConfigPull{1}}));
        EXPECT_EQ(back.messages().front(), (Received{stays, ConfigPull{2}}));
    }
}

TEST(PeerLink, AStrangerGetsNothingAndHurtsNobody)
{
    Node a("a");
    Node b("b");
    a.setPeers({b.address()});
    ASSERT_TRUE(waitUntilLinked(a, "a", b, "b"));
    const std::string lengthThenRubbish("\x08\0\0\0rubbish!", 12);
    const std::string tooLong("\xff\xff\xff\xffrubbish!", 12);
    for (const std::string &garbage :
         {std::string("GET / HTTP/1.1\r\n\r\n"), lengthThenRubbish, tooLong,
          std::string("\0\0\0\0", 4), std::string(60000, '\0')}) {
        const Stranger stranger(b.address().port);
        stranger.send(garbage);
        EXPECT_TRUE(stranger.getsNothing());
    }
    ASSERT_TRUE(b.waitForLine("Closed "));
    a.send("b", ConfigPull{1});
    ASSERT_TRUE(b.waitForMessages(1));
    EXPECT_EQ(b.messages(), (std::vector<Received>{{"a", ConfigPull{1}}}));
}

TEST(PeerLink, AnInstanceWithAnotherKeyIsNotLinked)
{
    Node b("b");
    Node impostor("a", 0, "another key of the same size....");
    impostor.setPeers({b.address()});
    ASSERT_TRUE(b.waitForLine("Closed 1 unproven connections, the last because: it does not hold "
                              "the cluster key"));
    impostor.send("b", ConfigPull{1});
    Node a("a");
    a.setPeers({b.address()});
    ASSERT_TRUE(waitUntilLinked(a, "a", b, "b"));
    a.send("b", ConfigPull{2});
    ASSERT_TRUE(b.waitForMessages(1));
    EXPECT_EQ(b.messages(), (std::vector<Received>{{"a", ConfigPull{2}}}));
}

TEST(PeerLink, ManyStrangersThatStayKeepNoDescriptorAndNoPeerOut)
{
    Node a("a");
    Node b("b");
    const std::size_t before = countDescriptors();
    constexpr std::size_t strangerCount = 200;
    std::vector<std::unique_ptr<Stranger>> strangers;
    strangers.reserve(strangerCount);
    for (std::size_t i = 0; i < strangerCount; ++i) {
        strangers.push_back(std::make_unique<Stranger>(b.address().port));
        if (i % 2 == 0)
            strangers.back()->send(std::string(100, 'x'));
    }
    a.setPeers({b.address()});
    ASSERT_TRUE(waitUntilLinked(a, "a", b, "b"));
    // The strangers' own ends, those that may still prove themselves, and the link's two ends.
    constexpr std::size_t mostUnproven = 64;
    EXPECT_TRUE(
        waitUntil([&] { return countDescriptors() <= before + strangerCount + mostUnproven + 2; }));
}

/// Proves itself as instance "a" and then takes no byte any more.
void linkByHand(const Stranger &socket)
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

TEST(PeerLink, APeerThatTakesNothingIsDroppedAndItsDescriptorClosed)
{
    Node b("b");
    const std::size_t before = countDescriptors();
    const Stranger socket(b.address().port);
    linkByHand(socket);
    ASSERT_TRUE(b.waitForLine("Linked with a"));
    ConfigPush push;
    push.snapshot.assign(std::size_t(3) * 1024 * 1024, 'x');
    for (int i = 0; i < 10; ++i)
        b.send("a", push);
    EXPECT_TRUE(b.waitForLine("Lost a: it does not take its frames"));
    EXPECT_TRUE(waitUntil([&] { return countDescriptors() == before + 1; }));
}

void stopWithAPeerThatTakesNothing()
{
    std::unique_ptr<Stranger> socket; // Outlives the instance.
    Node b("b");
    socket = std::make_unique<Stranger>(b.address().port);
    linkByHand(*socket);
    ASSERT_TRUE(b.waitForLine("Linked with a"));
    ConfigPush push;
    push.snapshot.assign(std::size_t(3) * 1024 * 1024, 'x');
    for (int i = 0; i < 4; ++i)
        b.send("a", push);
}

TEST(PeerLink, APeerThatTakesNothingDoesNotHoldUpAStop)
{
    // CAF wants a system to end in the thread that made it.
    auto stopped = std::async(std::launch::async, stopWithAPeerThatTakesNothing);
    EXPECT_EQ(stopped.wait_for(patience), std::future_status::ready);
}

TEST(PeerLink, AStopSendsWhatWaits)
{
    Node b("b");
    constexpr std::uint64_t messageCount = 100;
    {
        Node a("a");
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
