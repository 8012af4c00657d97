#include <Fuzz/JsonMutator.h>

#include <array>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <vector>

namespace Hibiscus {

using nlohmann::json;

namespace {

void collect(json &value, std::vector<json *> &values)
{
    values.push_back(&value);
    if (!value.is_structured())
        return;
    for (json &inner : value)
        collect(inner, values);
}

json anyValue(pcg32 &random)
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
        object[key] = anyValue(random);
        return;
    }
    auto at = object.begin();
    std::advance(at, random(static_cast<std::uint32_t>(object.size())));
    const json value = at.value();
    object.erase(at);
    // Half of the time the value comes back under another key.
    if (random(2) == 0)
        object[key] = value;
}

void mutateArray(json &array, pcg32 &random)
{
    if (!array.empty() && random(2) == 0)
        array.push_back(array.front());
    else
        array.push_back(anyValue(random));
}

} // namespace

std::string mutateJson(std::string_view text, unsigned int seed)
{
    json document = json::parse(text, nullptr, false);
    if (document.is_discarded())
        return std::string(text);
    pcg32 random(seed);
    std::vector<json *> values;
    collect(document, values);
    json &chosen = *values[random(static_cast<std::uint32_t>(values.size()))];
    if (chosen.is_object() && random(4) != 0)
        mutateObject(chosen, random);
    else if (chosen.is_array() && random(4) != 0)
        mutateArray(chosen, random);
    else
        chosen = anyValue(random);
    return document.dump();
}

} // namespace Hibiscus
