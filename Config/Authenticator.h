#pragma once

#include <Config/Configuration.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// Who has presented a key.
struct Principal
{
    Role role = Role::Caller;
    std::string customer; ///< Empty for operators that belong to no customer.
    std::string keyName;

    bool operator==(const Principal &) const = default;
};

/// Checks "name.secret" keys against a configuration's hashes. Derived hashes are cached in a
/// bounded table, so that only a key's first use costs the derivation. Safe for many threads.
class Authenticator
{
public:
    Authenticator();
    ~Authenticator();

    /// Replaces the keys; `operators` come from the instance's settings and are always valid.
    void setKeys(const Configuration &configuration, const std::vector<ApiKey> &operators);
    std::optional<Principal> authenticate(std::string_view presented) const;

    /// A key's stored form under a salt. The secret is 1 to 128 printable ASCII characters without
    /// a dot; for any other the hash is left empty, and such a key accepts nothing.
    static ApiKey deriveKey(std::string_view name, Role role, std::string_view secret,
                            std::string_view saltHex);
    /// A fresh random secret, 32 hexadecimal digits. Keys should have no others: what people make
    /// up is too easily guessed from a stored hash.
    static std::string generateSecret();

private:
    struct Data;
    std::unique_ptr<Data> data;
};

} // namespace Hibiscus
