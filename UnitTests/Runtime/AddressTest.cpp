#include <Runtime/Address.h>
#include <Runtime/EventLog.h>

#include <gtest/gtest.h>

namespace Hibiscus::Runtime {

namespace {

TEST(Address, TextsThatAreNoAddressWithAPortAreRefused)
{
    for (const std::string_view text : std::initializer_list<std::string_view>{
             "", ":", "1.2.3.4", "1.2.3.4:", "1.2.3.4:65536", "1.2.3.4:99999999999", "1.2.3.4:-1",
             "1.2.3.4:+1", "1.2.3.4: 1", "1.2.3.4:1 ", " 1.2.3.4:1", "1.2.3.4 :1", "1.2.3:1",
             "host:1", "[::1]:1", "fe80::1%x\r\nA: b:1", std::string_view("1.2.3.4\0x:1", 11),
             "1.2.3.4:1\n"})
        EXPECT_FALSE(parseAddress(text)) << text;
    EXPECT_TRUE(parseAddress("1.2.3.4:65535"));
    EXPECT_TRUE(parseAddress("::1:80"));
    EXPECT_TRUE(parseAddress("0.0.0.0:0"));
}

} // namespace

} // namespace Hibiscus::Runtime
