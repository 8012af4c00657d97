#include <Fleet/GuaranteeCheck.h>

#include <gtest/gtest.h>

namespace Hibiscus {

namespace {

std::vector<WorkerDescription> workersInTwoRacks()
{
    std::vector<WorkerDescription> workers;
    for (std::uint32_t index = 0; index < 6; ++index)
        workers.push_back({.rack = index / 3});
    return workers;
}

std::vector<DeclaredGuarantee> guaranteesOf(const std::vector<CellCounts> &counts)
{
    std::vector<DeclaredGuarantee> guarantees;
    for (std::size_t index = 0; index < counts.size(); ++index)
        guarantees.push_back({"/customers/c" + std::to_string(index), counts[index]});
    return guarantees;
}

} // namespace

TEST(GuaranteeCheck, acceptsExactlyTheGuaranteesThatTheFleetHolds)
{
    const auto workers = workersInTwoRacks();
    const auto full = guaranteesOf({{0, 0, 0, 0, 1}, {0, 0, 0, 2, 0}, {2, 1, 1, 0, 0}});
    EXPECT_TRUE(checkGuarantees(full, workers).isEmpty());
    const auto over = guaranteesOf({{0, 0, 0, 0, 1}, {0, 0, 0, 2, 0}, {3, 1, 1, 0, 0}});
    EXPECT_FALSE(checkGuarantees(over, workers).isEmpty());
    EXPECT_TRUE(checkGuarantees({}, {}).isEmpty());
}

TEST(GuaranteeCheck, reportsEveryGuaranteeThatDoesNotFitWithItsLocation)
{
    auto workers = workersInTwoRacks();
    workers[5].leaving = true;
    const auto guarantees = guaranteesOf({{0, 0, 0, 0, 2}, {0, 0, 20, 0, 0}, {1, 0, 0, 0, 0}});
    const Findings findings = checkGuarantees(guarantees, workers);
    ASSERT_EQ(findings.all().size(), 2U);
    EXPECT_EQ(findings.all()[0].location, "/customers/c0/rack");
    EXPECT_EQ(findings.all()[1].location, "/customers/c1/quad");
}

} // namespace Hibiscus
