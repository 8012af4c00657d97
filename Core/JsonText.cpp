#include <Core/JsonText.h>

namespace Hibiscus {

using nlohmann::json;

namespace {

/// Whether the text has more than `maxJsonLevels` levels. Counts brackets outside of strings, so
/// that a nested text is refused before its values take memory.
bool isNestedTooDeeply(std::string_view text)
{
    std::size_t levels = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); i++) {
        const char c = text[i];
        if (inString) {
            // The character after a backslash does not end the string.
            if (c == '\\')
                i++;
            else if (c == '"')
                inString = false;
            continue;
        }
        if (c == '"')
            inString = true;
        else if (c == '[' || c == '{')
            levels++;
        else if ((c == ']' || c == '}') && levels > 0)
            levels--;
        if (levels > maxJsonLevels)
            return true;
    }
    return false;
}

} // namespace

json parseJson(std::string_view text)
{
    if (isNestedTooDeeply(text))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

std::string replaceInvalidUtf8(std::string_view text)
{
    const std::string quoted = json(text).dump(-1, ' ', false, json::error_handler_t::replace);
    return json::parse(quoted).get<std::string>();
}

std::optional<std::int64_t> integerOf(const json &value, const NumberRange &range)
{
    if (!value.is_number_integer())
        return std::nullopt;
    constexpr auto maxSigned = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > maxSigned)
        return std::nullopt;
    const auto number = value.get<std::int64_t>();
    return range.contains(number) ? std::optional(number) : std::nullopt;
}

} // namespace Hibiscus
