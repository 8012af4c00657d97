#include <Wire/PeerFrameAuthenticator.h>

#include <algorithm>

namespace Hibiscus {

PeerFrameAuthenticator::PeerFrameAuthenticator(const PeerMac &key)
    : key(key)
{}

PeerFrameAuthenticator::Tag PeerFrameAuthenticator::sign(std::span<const std::uint8_t> body)
{
    std::array<std::uint8_t, sizeof(this->counter)> number{};
    for (std::size_t i = 0; i < number.size(); ++i)
        number[i] = static_cast<std::uint8_t>(this->counter >> (8 * i));
    ++this->counter;
    const PeerMac mac = hmacSha256(this->key, {number, body});
    Tag tag{};
    std::copy_n(mac.begin(), tag.size(), tag.begin());
    return tag;
}

bool PeerFrameAuthenticator::verify(std::span<const std::uint8_t> body,
                                    std::span<const std::uint8_t> tag)
{
    return isEqualInConstantTime(this->sign(body), tag);
}

} // namespace Hibiscus
