#pragma once

#include <Config/Configuration.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// The identity that a presented key belongs to.
struct Principal
{
    Role role = Role::Caller;
    std::string customer; ///< Empty for operators that belong to no customer.
    std::string keyName;

    bool operator==(const Principal &) const = default;
};

/// Checks "name.secret" keys against the stored hashes of a configuration. Results are cached in a
/// bounded table, so that only the first use of a key costs a derivation. Thread-safe.
class Authenticator
{
public:
    Authenticator();
    ~Authenticator();

    /// Replaces all keys. `operators` come from the instance's settings and are always valid.
    void setKeys(const Configuration &configuration, const std::vector<ApiKey> &operators);
    std::optional<Principal> authenticate(std::string_view presented) const;

    /// Derives the stored form of a key with a salt. The secret is 1 to 128 printable ASCII
    /// characters without a dot. For any other secret the hash stays empty, and no secret matches
    /// such a key.
    static ApiKey deriveKey(std::string_view name, Role role, std::string_view secret,
                            std::string_view saltHex);
    /// Generates a random secret of 32 hexadecimal digits. Keys should use only generated secrets,
    /// because secrets made up by people are too easily guessed from a stored hash.
    static std::string generateSecret();

private:
    struct Data;
    std::unique_ptr<Data> data;
};

} // namespace Hibiscus
