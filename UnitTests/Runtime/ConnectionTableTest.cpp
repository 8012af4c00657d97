#include <Runtime/ConnectionTable.h>

#include <gtest/gtest.h>
#include <optional>

namespace Hibiscus::Runtime {

namespace {

class ConnectionTableTest : public testing::Test
{
protected:
    struct Connection final : ConnectionTable::Member
    {
        Connection(ConnectionTable &table, ConnectionState state)
            : table(table)
        {
            table.add(*this);
            if (state != ConnectionState::Fresh)
                table.enter(*this, state);
        }
        ~Connection() { this->table.remove(*this); }

        void closeFor(CloseReason reason) override
        {
            this->closedFor = reason;
            this->table.remove(*this);
        }

        ConnectionTable &table;
        std::optional<CloseReason> closedFor;
    };

    void SetUp() override { this->table.setLimits({.maxConnections = 4, .maxHeldBytes = 100}); }

    ConnectionTable table;
};

TEST_F(ConnectionTableTest, ConnectionsWithoutARequestMakeRoomFirstAndHandledOnesNever)
{
    Connection handling(this->table, ConnectionState::Handling);
    Connection reading(this->table, ConnectionState::Reading);
    Connection idle(this->table, ConnectionState::Idle);
    Connection fresh(this->table, ConnectionState::Fresh);
    for (Connection *next : {&fresh, &idle, &reading}) {
        EXPECT_TRUE(this->table.makeRoom());
        EXPECT_EQ(next->closedFor, CloseReason::ConnectionLimit);
        this->table.setLimits({.maxConnections = this->table.size(), .maxHeldBytes = 100});
    }
    EXPECT_FALSE(this->table.makeRoom());
    EXPECT_FALSE(handling.closedFor);
}

TEST_F(ConnectionTableTest, RequestThatBeganFirstMakesRoomForALaterOne)
{
    Connection handling(this->table, ConnectionState::Handling);
    Connection slow(this->table, ConnectionState::Reading);
    Connection unread(this->table, ConnectionState::Reading);
    Connection caller(this->table, ConnectionState::Reading);
    EXPECT_TRUE(this->table.hold(slow, 30));
    EXPECT_TRUE(this->table.hold(unread, 30));
    EXPECT_TRUE(this->table.hold(handling, 30));
    this->table.enter(unread, ConnectionState::Writing);
    EXPECT_TRUE(this->table.hold(caller, 20));
    EXPECT_EQ(slow.closedFor, CloseReason::MemoryLimit);
    EXPECT_FALSE(unread.closedFor);
    EXPECT_TRUE(this->table.hold(caller, 70));
    EXPECT_EQ(unread.closedFor, CloseReason::MemoryLimit);
    EXPECT_FALSE(this->table.hold(caller, 71)) << "the rest is held by the handler";
    EXPECT_FALSE(handling.closedFor);
}

TEST_F(ConnectionTableTest, RequestThatAloneHoldsBytesMayHoldAny)
{
    Connection caller(this->table, ConnectionState::Reading);
    EXPECT_TRUE(this->table.hold(caller, 1000));
    EXPECT_EQ(this->table.heldBytes(), 1000U);
    this->table.remove(caller);
    EXPECT_EQ(this->table.heldBytes(), 0U);
    EXPECT_FALSE(this->table.hold(caller, 1));
}

} // namespace

} // namespace Hibiscus::Runtime
