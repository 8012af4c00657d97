#include <Fuzz/JsonMutator.h>

#include <array>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <vector>

namespace Hibiscus {

using nlohmann::json;

namespace {

void collectValues(json &value, std::vector<json *> &values)
{
    values.push_back(&value);
    if (!value.is_structured())
        return;
    for (json &inner : value)
        collectValues(inner, values);
}

json randomValue(pcg32 &random)
{
    const std::array values{
        json(nullptr),
        json(true),
        json(0),
        json(-1),
        json(1.5),
        json(18446744073709551615ULL),
        json(1025),
        json(""),
        json("urgent"),
        json("a/b~c"),
        json(std::string(129, 'x')),
        json("\x01"),
        json(json::array()),
        json(json::object()),
    };
    return values[random(static_cast<std::uint32_t>(values.size()))];
}

void mutateObject(json &object, pcg32 &random)
{
    constexpr std::array keys{"name", "vip", "a/b", "", "rack", "changeId", "urgent"};
    const std::string key = keys[random(static_cast<std::uint32_t>(keys.size()))];
    if (object.empty() || random(2) == 0) {
        object[key] = randomValue(random);
        return;
    }
    auto at = object.begin();
    std::advance(at, random(static_cast<std::uint32_t>(object.size())));
    const json value = at.value();
    object.erase(at);
    // In half of the cases the erased value is inserted again under another key.
    if (random(2) == 0)
        object[key] = value;
}

void mutateArray(json &array, pcg32 &random)
{
    if (!array.empty() && random(2) == 0)
        array.push_back(array.front());
    else
        array.push_back(randomValue(random));
}

} // namespace

std::string mutateJson(std::string_view text, unsigned int seed)
{
    json document = json::parse(text, nullptr, false);
    if (document.is_discarded())
        return std::string(text);
    pcg32 random(seed);
    std::vector<json *> values;
    collectValues(document, values);
    json &chosen = *values[random(static_cast<std::uint32_t>(values.size()))];
    if (chosen.is_object() && random(4) != 0)
        mutateObject(chosen, random);
    else if (chosen.is_array() && random(4) != 0)
        mutateArray(chosen, random);
    else
        chosen = randomValue(random);
    return document.dump();
}

} // namespace Hibiscus
