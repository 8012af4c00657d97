#include <Fleet/GuaranteeCheck.h>

#include <gtest/gtest.h>

namespace Hibiscus {

namespace {

std::vector<WorkerDescription> twoRacks()
{
    std::vector<WorkerDescription> workers;
    for (std::uint32_t index = 0; index < 6; ++index)
        workers.push_back({.name = "w", .dataCenter = "athens", .rack = index / 3});
    return workers;
}

Configuration guaranteeing(const std::vector<CellCounts> &counts)
{
    Configuration configuration;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        Customer &customer = configuration.customers["c" + std::to_string(index)];
        customer.guarantees["athens"] = counts[index];
    }
    return configuration;
}

} // namespace

TEST(GuaranteeCheck, acceptsExactlyWhatTheFleetHolds)
{
    const auto workers = twoRacks();
    const auto full = guaranteeing({{0, 0, 0, 0, 1}, {0, 0, 0, 2, 0}, {2, 1, 1, 0, 0}});
    EXPECT_TRUE(checkGuarantees(full, "athens", workers).isEmpty());
    const auto over = guaranteeing({{0, 0, 0, 0, 1}, {0, 0, 0, 2, 0}, {3, 1, 1, 0, 0}});
    EXPECT_FALSE(checkGuarantees(over, "athens", workers).isEmpty());
    EXPECT_TRUE(checkGuarantees(over, "sparta", workers).isEmpty()) << "nothing is stated there";
}

TEST(GuaranteeCheck, findsAllThatDoesNotFitWithItsPlace)
{
    auto workers = twoRacks();
    workers[5].leaving = true;
    const auto configuration = guaranteeing({{0, 0, 0, 0, 2}, {0, 0, 20, 0, 0}, {1, 0, 0, 0, 0}});
    const Findings findings = checkGuarantees(configuration, "athens", workers);
    ASSERT_EQ(findings.all().size(), 2U);
    EXPECT_EQ(findings.all()[0].place, "/customers/c0/guarantees/athens/rack");
    EXPECT_EQ(findings.all()[1].place, "/customers/c1/guarantees/athens/quad");
}

} // namespace Hibiscus
