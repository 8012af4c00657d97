#include <Config/ConfigKeys.h>

#include <charconv>
#include <utility>

namespace Hibiscus {

namespace {

constexpr std::size_t revisionDigits = 12;

} // namespace

ConfigKeys::ConfigKeys(std::string prefix)
    : prefix(std::move(prefix))
    , changePrefix(this->prefix + "change/")
{}

std::string ConfigKeys::change(std::uint64_t revision) const
{
    const std::string digits = revisionToText(revision);
    const std::size_t zeros = digits.size() < revisionDigits ? revisionDigits - digits.size() : 0;
    return this->changePrefix + std::string(zeros, '0') + digits;
}

std::optional<std::uint64_t> ConfigKeys::revisionOf(std::string_view key) const
{
    if (!key.starts_with(this->changePrefix))
        return std::nullopt;
    return revisionFromText(key.substr(this->changePrefix.size()));
}

std::string revisionToText(std::uint64_t revision)
{
    return std::to_string(revision);
}

std::optional<std::uint64_t> revisionFromText(std::string_view text)
{
    std::uint64_t revision = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, revision);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return revision;
}

} // namespace Hibiscus
