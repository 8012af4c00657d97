#include <Config/Authenticator.h>

#include <Config/Names.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <deque>
#include <map>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Hibiscus {

namespace {

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

// Secrets from generateSecret have 128 random bits and need no key stretching. More rounds would
// only let a flood of wrong secrets for a known key occupy the threads that serve callers.
constexpr int derivationRounds = 1'000;
constexpr std::size_t longestSecret = 128;
constexpr std::size_t secretBytes = 16;
constexpr std::size_t cacheSize = 4096;

std::string toHex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

unsigned char fromHexDigit(char c)
{
    if (c <= '9')
        return static_cast<unsigned char>(c - '0');
    return static_cast<unsigned char>((c | 0x20) - 'a' + 10);
}

std::vector<unsigned char> fromHex(std::string_view text)
{
    std::vector<unsigned char> bytes;
    if (!isHex(text))
        return bytes;
    for (std::size_t i = 0; i < text.size(); i += 2)
        bytes.push_back(
            static_cast<unsigned char>(fromHexDigit(text[i]) << 4U | fromHexDigit(text[i + 1])));
    return bytes;
}

/// Returns true for printable ASCII without dots. HMAC pads short keys with zero bytes, so a secret
/// with trailing zero bytes would match the same secret without them.
bool isSecret(std::string_view text)
{
    const auto isPrintable = [](char c) { return c > ' ' && c <= '~' && c != '.'; };
    return !text.empty() && text.size() <= longestSecret
        && std::all_of(text.begin(), text.end(), isPrintable);
}

bool deriveHash(std::string_view secret, std::string_view saltHex, Digest &hash)
{
    if (!isSecret(secret))
        return false;
    const std::vector<unsigned char> salt = fromHex(saltHex);
    return PKCS5_PBKDF2_HMAC(secret.data(), static_cast<int>(secret.size()), salt.data(),
                             static_cast<int>(salt.size()), derivationRounds, EVP_sha256(),
                             static_cast<int>(hash.size()), hash.data())
        == 1;
}

bool isSameHash(const Digest &hash, std::string_view hex)
{
    const std::vector<unsigned char> stored = fromHex(hex);
    return stored.size() == hash.size()
        && CRYPTO_memcmp(stored.data(), hash.data(), hash.size()) == 0;
}

/// Bounded cache of presented keys and the stored keys they were checked against. The oldest entry
/// is evicted first.
class KeyCache
{
public:
    void add(const std::string &digest, const ApiKey &checked)
    {
        const auto [position, isNew] = this->entries.insert_or_assign(digest, checked);
        if (isNew)
            this->order.push_back(digest);
        if (this->order.size() <= cacheSize)
            return;
        this->entries.erase(this->order.front());
        this->order.pop_front();
    }

    /// Returns true if the digest was checked against exactly this stored key.
    bool contains(const std::string &digest, const ApiKey &stored) const
    {
        const auto found = this->entries.find(digest);
        return found != this->entries.end() && found->second == stored;
    }

private:
    std::unordered_map<std::string, ApiKey> entries;
    std::deque<std::string> order;
};

} // namespace

struct Authenticator::Data
{
    struct StoredKey
    {
        ApiKey key;
        std::string customer;
    };
    using Keys = std::map<std::string, StoredKey, std::less<>>;

    Data() { RAND_bytes(this->cacheKey.data(), static_cast<int>(this->cacheKey.size())); }

    /// Returns the cache key of a presented key, a keyed hash, so that no secret is kept in memory.
    std::string cacheDigest(std::string_view presented) const
    {
        Digest digest{};
        unsigned int size = 0;
        HMAC(EVP_sha256(), this->cacheKey.data(), static_cast<int>(this->cacheKey.size()),
             reinterpret_cast<const unsigned char *>(presented.data()), presented.size(),
             digest.data(), &size);
        return {digest.begin(), digest.end()};
    }

    std::optional<StoredKey> find(std::string_view name) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->keys.find(name);
        if (found == this->keys.end())
            return std::nullopt;
        return found->second;
    }

    mutable std::mutex mutex;
    Keys keys;
    // Separate caches, so that a flood of wrong keys can't evict a right one.
    mutable KeyCache accepted;
    mutable KeyCache refused;
    Digest cacheKey{};
};

Authenticator::Authenticator()
    : data(std::make_unique<Data>())
{}

Authenticator::~Authenticator() = default;

void Authenticator::setKeys(const Configuration &configuration,
                            const std::vector<ApiKey> &operators)
{
    Data::Keys keys;
    // Operators of the settings are added first, so that no customer can take over their key names.
    for (const ApiKey &key : operators)
        keys.try_emplace(key.name, Data::StoredKey{key, ""});
    for (const auto &[name, customer] : configuration.customers) {
        for (const ApiKey &key : customer.keys)
            keys.try_emplace(key.name, Data::StoredKey{key, name});
    }
    const std::lock_guard lock(this->data->mutex);
    this->data->keys = std::move(keys);
}

std::optional<Principal> Authenticator::authenticate(std::string_view presented) const
{
    if (presented.size() > maxNameLength + 1 + longestSecret)
        return std::nullopt;
    // Names may contain dots, secrets may not.
    const std::size_t dot = presented.rfind('.');
    if (dot == std::string_view::npos || !isSecret(presented.substr(dot + 1)))
        return std::nullopt;
    const auto stored = this->data->find(presented.substr(0, dot));
    if (!stored)
        return std::nullopt;
    const std::string digest = this->data->cacheDigest(presented);
    const Principal principal{stored->key.role, stored->customer, stored->key.name};
    {
        const std::lock_guard lock(this->data->mutex);
        if (this->data->accepted.contains(digest, stored->key))
            return principal;
        if (this->data->refused.contains(digest, stored->key))
            return std::nullopt;
    }
    // The derivation runs outside the lock, so that checks of cached keys don't wait for it.
    Digest hash{};
    const bool isRight = deriveHash(presented.substr(dot + 1), stored->key.salt, hash)
        && isSameHash(hash, stored->key.hash);
    const std::lock_guard lock(this->data->mutex);
    (isRight ? this->data->accepted : this->data->refused).add(digest, stored->key);
    if (!isRight)
        return std::nullopt;
    return principal;
}

ApiKey Authenticator::deriveKey(std::string_view name, Role role, std::string_view secret,
                                std::string_view saltHex)
{
    Digest hash{};
    ApiKey key;
    key.name = name;
    key.role = role;
    key.salt = saltHex;
    if (deriveHash(secret, saltHex, hash))
        key.hash = toHex(hash);
    return key;
}

std::string Authenticator::generateSecret()
{
    std::array<unsigned char, secretBytes> bytes{};
    const int done = RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    assert(done == 1);
    return done == 1 ? toHex(bytes) : std::string();
}

} // namespace Hibiscus
