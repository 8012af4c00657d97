#include <Config/Authenticator.h>

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

namespace Hibiscus {
namespace {

constexpr const char *salt = "00112233445566778899aabbccddeeff";

Configuration withKey(const ApiKey &key)
{
    Configuration configuration;
    configuration.customers["parks"].name = "parks";
    configuration.customers["parks"].keys.push_back(key);
    return configuration;
}

TEST(Authenticator, DerivesHashesWithPbkdf2)
{
    // Expected hash from: openssl kdf -keylen 32 -kdfopt digest:SHA256 -kdfopt pass:secret
    //       -kdfopt hexsalt:00112233445566778899aabbccddeeff -kdfopt iter:1000 PBKDF2
    EXPECT_EQ(Authenticator::deriveKey("lab", Role::Caller, "secret", salt).hash,
              "588372775fb38b5711b6f36b465e293dc7b793e008550ee8a10bb26a8e7f85b8");
    const std::string secret = Authenticator::generateSecret();
    EXPECT_EQ(secret.size(), 32U);
    EXPECT_NE(secret, Authenticator::generateSecret());
}

TEST(Authenticator, OnlyTheRightSecretOfAKnownKeyIsAccepted)
{
    Authenticator authenticator;
    const ApiKey key = Authenticator::deriveKey("lab.2", Role::Caller, "secret", salt);
    const ApiKey admin = Authenticator::deriveKey("boss", Role::Operator, "other", salt);
    authenticator.setKeys(withKey(key), {admin});
    const Principal lab{Role::Caller, "parks", "lab.2"};
    const Principal adminPrincipal{Role::Operator, "", "boss"};
    for (int again = 0; again < 2; ++again) {
        EXPECT_EQ(authenticator.authenticate("lab.2.secret"), lab);
        EXPECT_EQ(authenticator.authenticate("boss.other"), adminPrincipal);
        for (const std::string &wrong :
             {std::string(), std::string("."), std::string("lab.2"), std::string("lab.2."),
              std::string(".secret"), std::string("lab.2.other"), std::string("boss.secret"),
              std::string("lab.2.secret\0", 13), std::string("nobody.secret"),
              "lab.2." + std::string(200'000, 'x')})
            EXPECT_FALSE(authenticator.authenticate(wrong)) << wrong.substr(0, 20);
    }
}

TEST(Authenticator, AReplacedOrRemovedKeyIsNotAcceptedFromTheCache)
{
    Authenticator authenticator;
    authenticator.setKeys(withKey(Authenticator::deriveKey("lab", Role::Caller, "old", salt)), {});
    EXPECT_TRUE(authenticator.authenticate("lab.old"));
    EXPECT_FALSE(authenticator.authenticate("lab.new"));
    authenticator.setKeys(withKey(Authenticator::deriveKey("lab", Role::Caller, "new", salt)), {});
    EXPECT_FALSE(authenticator.authenticate("lab.old"));
    EXPECT_TRUE(authenticator.authenticate("lab.new"));
    authenticator.setKeys({}, {});
    EXPECT_FALSE(authenticator.authenticate("lab.new"));
}

TEST(Authenticator, ACustomerCannotTakeOverTheNameOfAnOperatorsKey)
{
    Authenticator authenticator;
    const ApiKey admin = Authenticator::deriveKey("boss", Role::Operator, "right", salt);
    const ApiKey impostor = Authenticator::deriveKey("boss", Role::Operator, "stolen", salt);
    authenticator.setKeys(withKey(impostor), {admin});
    EXPECT_FALSE(authenticator.authenticate("boss.stolen"));
    EXPECT_EQ(authenticator.authenticate("boss.right")->customer, "");
}

TEST(Authenticator, AKeyWithoutAValidHashAcceptsNoSecret)
{
    Authenticator authenticator;
    for (const std::string &hash : {std::string(), std::string("zz"), std::string(64, 'g')}) {
        authenticator.setKeys(withKey({"lab", Role::Caller, salt, hash}), {});
        EXPECT_FALSE(authenticator.authenticate("lab.secret"));
    }
}

TEST(Authenticator, IsThreadSafeWhileKeysAreReplaced)
{
    Authenticator authenticator;
    const ApiKey key = Authenticator::deriveKey("lab", Role::Caller, "secret", salt);
    authenticator.setKeys(withKey(key), {});
    std::atomic<int> wrong = 0;
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int j = 0; j < 200; ++j) {
                wrong += authenticator.authenticate("lab.secret") ? 0 : 1;
                wrong += authenticator.authenticate("lab.no") ? 1 : 0;
            }
        });
    }
    for (int i = 0; i < 200; ++i)
        authenticator.setKeys(withKey(key), {});
    threads.clear();
    EXPECT_EQ(wrong, 0);
}

} // namespace
} // namespace Hibiscus
