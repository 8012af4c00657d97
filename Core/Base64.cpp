#include <Core/Base64.h>

#include <algorithm>
#include <openssl/evp.h>

namespace Hibiscus {

namespace {

constexpr std::size_t bytesPerGroup = 3;
constexpr std::size_t charactersPerGroup = 4;

bool isBase64Character(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '+'
        || c == '/';
}

std::size_t paddingOf(std::string_view text)
{
    if (text.ends_with("=="))
        return 2;
    return text.ends_with('=') ? 1 : 0;
}

} // namespace

std::string toBase64(std::string_view bytes)
{
    const std::size_t groups = (bytes.size() + bytesPerGroup - 1) / bytesPerGroup;
    // One additional byte for the terminator that OpenSSL writes.
    std::string text(groups * charactersPerGroup + 1, '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                    reinterpret_cast<const unsigned char *>(bytes.data()),
                    static_cast<int>(bytes.size()));
    text.pop_back();
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    const std::size_t padding = paddingOf(text);
    // OpenSSL skips blanks at the ends of the text, so the characters are checked here.
    const std::string_view significant = text.substr(0, text.size() - padding);
    if (text.size() % charactersPerGroup != 0
        || !std::all_of(significant.begin(), significant.end(), isBase64Character))
        return std::nullopt;
    std::string bytes(text.size() / charactersPerGroup * bytesPerGroup, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace Hibiscus
