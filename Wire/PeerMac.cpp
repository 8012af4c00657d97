#include <Wire/PeerMac.h>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <cstdlib>
#include <memory>

namespace Hibiscus {
namespace {

struct MacContextDeleter
{
    void operator()(EVP_MAC_CTX *context) const { EVP_MAC_CTX_free(context); }
};
using MacContext = std::unique_ptr<EVP_MAC_CTX, MacContextDeleter>;

// Aborts if HMAC is unavailable or its memory cannot be allocated, as no peer can be authenticated
// without it.
void require(bool condition)
{
    if (!condition)
        std::abort();
}

EVP_MAC *hmacAlgorithm()
{
    static EVP_MAC *const algorithm = EVP_MAC_fetch(nullptr, OSSL_MAC_NAME_HMAC, nullptr);
    require(algorithm != nullptr);
    return algorithm;
}

} // namespace

std::span<const std::uint8_t> bytesOf(std::string_view text)
{
    return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

PeerMac hmacSha256(std::span<const std::uint8_t> key,
                   std::initializer_list<std::span<const std::uint8_t>> parts)
{
    const MacContext context(EVP_MAC_CTX_new(hmacAlgorithm()));
    require(context != nullptr);
    char digest[] = "SHA256";
    const OSSL_PARAM parameters[]
        = {OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
           OSSL_PARAM_construct_end()};
    require(EVP_MAC_init(context.get(), key.data(), key.size(), parameters) == 1);
    for (const auto part : parts)
        require(EVP_MAC_update(context.get(), part.data(), part.size()) == 1);
    PeerMac mac{};
    std::size_t size = 0;
    require(EVP_MAC_final(context.get(), mac.data(), &size, mac.size()) == 1);
    require(size == mac.size());
    return mac;
}

bool isEqualInConstantTime(std::span<const std::uint8_t> left, std::span<const std::uint8_t> right)
{
    if (left.size() != right.size())
        return false;
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace Hibiscus
