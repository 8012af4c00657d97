#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus {

/// Most levels of arrays and objects in a text from outside. The formats in use have under ten.
/// Copies of a JSON value recurse once for each level.
inline constexpr std::size_t maxJsonLevels = 64;

/// Parses a text from outside. Returns a discarded value if the text is not valid JSON, contains a
/// number that no double holds, or has more than `maxJsonLevels` levels. Does not throw.
nlohmann::json parseJson(std::string_view text);

/// Replaces by null what `parseJson` can't read among the items of arrays that are fields of the
/// outermost object. Such a text can then be parsed without those items. A text that is broken
/// otherwise stays so.
std::string replaceUnreadableItems(std::string_view text);

/// Whether the value has more than `maxJsonLevels` levels. Does not recurse.
bool isNestedTooDeeply(const nlohmann::json &value);

/// Replaces the bytes of the text that are not UTF-8 by U+FFFD.
std::string replaceInvalidUtf8(std::string_view text);

/// Inclusive bounds of an integer.
struct NumberRange
{
    std::int64_t min = std::numeric_limits<std::int64_t>::min();
    std::int64_t max = std::numeric_limits<std::int64_t>::max();

    bool contains(std::int64_t number) const { return number >= this->min && number <= this->max; }
};

inline constexpr NumberRange int32Range{std::numeric_limits<std::int32_t>::min(),
                                        std::numeric_limits<std::int32_t>::max()};

/// Returns the value of an integer, or nothing if the value is not an integer or is out of range.
std::optional<std::int64_t> integerOf(const nlohmann::json &value, const NumberRange &range = {});

} // namespace Hibiscus
