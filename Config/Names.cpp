#include <Config/Names.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <string>

namespace Hibiscus {

namespace {

constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
constexpr std::string_view digits = "0123456789";
constexpr std::string_view marks = "._:-";

bool isNameCharacter(char c)
{
    return letters.find(c) != std::string_view::npos || digits.find(c) != std::string_view::npos
        || marks.find(c) != std::string_view::npos;
}

bool isHexDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

} // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isHex(std::string_view text)
{
    return text.size() % 2 == 0 && std::all_of(text.begin(), text.end(), isHexDigit);
}

bool isIpAddress(std::string_view text)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    const std::string terminated(text);
    if (terminated.find('\0') != std::string::npos)
        return false;
    return inet_pton(AF_INET, terminated.c_str(), address.data()) == 1
        || inet_pton(AF_INET6, terminated.c_str(), address.data()) == 1;
}

void checkName(std::string_view text, std::string_view place, Findings &findings)
{
    if (!isName(text))
        findings.add(place, "must be 1 to 128 characters of A-Z, a-z, 0-9, '.', '_', ':', '-'");
}

} // namespace Hibiscus
