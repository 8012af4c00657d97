#include <Core/JsonText.h>

#include <vector>

namespace Hibiscus {

using nlohmann::json;

namespace {

/// Counts the open brackets of a text that is read character by character. Brackets in strings
/// don't count.
struct TextLevels
{
    std::size_t level = 0;
    bool inString = false;
    bool escaped = false;

    void read(char c)
    {
        if (this->escaped)
            this->escaped = false;
        else if (this->inString && c == '\\')
            this->escaped = true;
        else if (c == '"')
            this->inString = !this->inString;
        else if (!this->inString && (c == '[' || c == '{'))
            this->level++;
        else if (!this->inString && (c == ']' || c == '}') && this->level > 0)
            this->level--;
    }
};

/// Whether the text has more than `maxJsonLevels` levels, found before its values take memory.
bool isTextNestedTooDeeply(std::string_view text)
{
    TextLevels levels;
    for (const char c : text) {
        levels.read(c);
        if (levels.level > maxJsonLevels)
            return true;
    }
    return false;
}

/// Whether the text is that of an item which can't be parsed. A missing item is none.
bool isUnreadableItem(std::string_view item)
{
    return item.find_first_not_of(" \t\r\n") != std::string_view::npos
        && parseJson(item).is_discarded();
}

} // namespace

json parseJson(std::string_view text)
{
    if (isTextNestedTooDeeply(text))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

std::string replaceUnreadableItems(std::string_view text)
{
    constexpr std::size_t itemLevel = 2;
    std::string replaced;
    std::size_t copied = 0;
    std::size_t begin = 0;
    TextLevels levels;
    for (std::size_t i = 0; i < text.size(); i++) {
        const std::size_t before = levels.level;
        levels.read(text[i]);
        const bool opened = before < itemLevel && levels.level == itemLevel;
        const bool separated = before == itemLevel && !levels.inString && text[i] == ',';
        const bool closed = before == itemLevel && levels.level < itemLevel;
        if ((separated || closed) && isUnreadableItem(text.substr(begin, i - begin))) {
            replaced += text.substr(copied, begin - copied);
            replaced += "null";
            copied = i;
        }
        if (opened || separated)
            begin = i + 1;
    }
    replaced += text.substr(copied);
    return replaced;
}

bool isNestedTooDeeply(const json &value)
{
    struct Nested
    {
        const json *value;
        std::size_t level;
    };
    std::vector<Nested> open{{&value, 1}};
    while (!open.empty()) {
        const Nested current = open.back();
        open.pop_back();
        if (!current.value->is_structured())
            continue;
        if (current.level > maxJsonLevels)
            return true;
        for (const json &child : *current.value) {
            if (child.is_structured())
                open.push_back({&child, current.level + 1});
        }
    }
    return false;
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
