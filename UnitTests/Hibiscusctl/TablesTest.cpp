#include <Hibiscusctl/Tables.h>

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

TEST(Tables, ColumnsAreAligned)
{
    EXPECT_EQ(renderTable({{"A", "LONG", "C"}, {"wide", "x", "y"}}),
              "A     LONG  C\nwide  x     y\n");
}

TEST(Tables, CustomersAndPresetsAreListed)
{
    const std::string configuration = R"({"revision": 7, "presetInForce": "peak",
        "customers": [{"name": "parks", "share": 2.0, "waitingCallers": 64,
                       "guarantees": {"attica-1": {"quad": 1}},
                       "keys": [{"name": "lab", "role": "caller"}]}],
        "presets": [{"name": "ordinary", "lending": true, "closedDataCenters": []},
                    {"name": "peak", "lending": false, "closedDataCenters": ["attica-2"]}]})";
    EXPECT_EQ(renderReply(CommandKind::CustomerList, configuration),
              "revision 7\n"
              "CUSTOMER  SHARE  CALLERS  GUARANTEES       KEYS\n"
              "parks     2.0    64       attica-1 quad 1  lab\n");
    EXPECT_EQ(renderReply(CommandKind::PresetList, configuration),
              "revision 7\n"
              "PRESET    IN FORCE  LENDING  CLOSED DATA CENTRES\n"
              "ordinary  no        yes      -\n"
              "peak      yes       no       attica-2\n");
}

TEST(Tables, InstanceStatusShowsShortfalls)
{
    const std::string status = R"({"instance": "e1", "preset": "peak", "livePeers": ["e2"],
        "dispatchers": [{"dataCenter": "attica-1", "freeSlots": 3,
            "shortfalls": [{"customer": "parks", "missing": {"quad": 1}}]}]})";
    EXPECT_EQ(renderReply(CommandKind::Show, status),
              "instance   e1\nlivePeers  e2\npreset     peak\n"
              "\ndispatcher of attica-1\nfreeSlots  3\n"
              "shortfalls  customer parks, missing quad 1\n");
}

TEST(Tables, FindingsAreShownWithTheirPlaces)
{
    const std::string reply = R"({"status": "invalid", "revision": 0,
        "findings": [{"place": "/putPreset/name", "message": "is taken"}]})";
    EXPECT_EQ(renderReply(CommandKind::PresetPut, reply),
              "revision  0\nstatus    invalid\n/putPreset/name: is taken\n");
}

TEST(Tables, UnexpectedBodiesAreShownWithoutControlCharacters)
{
    EXPECT_EQ(renderReply(CommandKind::Show, "Connection"), "Connection\n");
    EXPECT_EQ(renderReply(CommandKind::CustomerList, R"({"customers": 3})"),
              "revision -\nCUSTOMER  SHARE  CALLERS  GUARANTEES  KEYS\n");
    EXPECT_EQ(renderReply(CommandKind::Status, R"({"result": "a\u001b[2Jb"})"), "result  a?[2Jb\n");
}

} // namespace
} // namespace Hibiscus
