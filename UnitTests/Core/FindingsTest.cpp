#include <Core/Findings.h>

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

Findings findingsAt(const std::vector<std::string> &places)
{
    Findings findings;
    for (const std::string &place : places)
        findings.add(place, "must be an object");
    return findings;
}

TEST(RepeatedFindings, FindingThatStaysIsNewOnce)
{
    RepeatedFindings repeated;
    EXPECT_EQ(repeated.takeNew(findingsAt({"/a"})), findingsAt({"/a"}).all());
    EXPECT_TRUE(repeated.takeNew(findingsAt({"/a"})).empty());
    EXPECT_EQ(repeated.takeNew(findingsAt({"/a", "/b"})), findingsAt({"/b"}).all());
    EXPECT_TRUE(repeated.takeNew(findingsAt({"/a", "/b"})).empty());
}

TEST(RepeatedFindings, FindingThatComesBackIsNewAgain)
{
    RepeatedFindings repeated;
    repeated.takeNew(findingsAt({"/a"}));
    EXPECT_TRUE(repeated.takeNew({}).empty());
    EXPECT_EQ(repeated.takeNew(findingsAt({"/a"})), findingsAt({"/a"}).all());
}

} // namespace
} // namespace Hibiscus
