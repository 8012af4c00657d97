#pragma once

#include <Core/Findings.h>
#include <Core/Time.h>

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hibiscus {

/// One member of a record and its name in JSON. Durations are written as whole microseconds.
template <class Record>
struct JsonField
{
    using Member = std::variant<std::string Record::*, bool Record::*, std::uint16_t Record::*,
                                std::uint32_t Record::*, std::uint64_t Record::*, double Record::*,
                                Duration Record::*>;

    const char *name;
    Member member;
    bool required = false;
};

/// A value of an enum and its name in JSON.
template <class Enum>
struct JsonName
{
    const char *name;
    Enum value;
};

/// Returns the text of a JSON value. Bytes that are not UTF-8 are replaced. Never throws on them.
inline std::string jsonText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Reads one value. On a mismatch adds a finding and leaves `target` unchanged.
inline void readJson(const nlohmann::json &value, std::string &target, std::string_view place,
                     Findings &findings)
{
    if (value.is_string())
        target = value.get_ref<const std::string &>();
    else
        findings.add(place, "must be a string");
}

inline void readJson(const nlohmann::json &value, bool &target, std::string_view place,
                     Findings &findings)
{
    if (value.is_boolean())
        target = value.get<bool>();
    else
        findings.add(place, "must be true or false");
}

inline void readJson(const nlohmann::json &value, double &target, std::string_view place,
                     Findings &findings)
{
    if (value.is_number())
        target = value.get<double>();
    else
        findings.add(place, "must be a number");
}

template <std::unsigned_integral Number>
void readJson(const nlohmann::json &value, Number &target, std::string_view place,
              Findings &findings)
{
    constexpr Number max = std::numeric_limits<Number>::max();
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max)
        findings.add(place, "must be a whole number from 0 to " + std::to_string(max));
    else
        target = static_cast<Number>(value.get<std::uint64_t>());
}

inline void readJson(const nlohmann::json &value, Duration &target, std::string_view place,
                     Findings &findings)
{
    constexpr auto max = static_cast<std::uint64_t>(Duration::max().count());
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max)
        findings.add(place, "must be a whole number of microseconds");
    else
        target = Duration(value.get<std::uint64_t>());
}

inline nlohmann::json writeJson(Duration value)
{
    return value.count();
}

template <class Value>
nlohmann::json writeJson(const Value &value)
{
    return value;
}

/// Reads the fields that are present in `object`. A missing required field is a finding. Unknown
/// keys are ignored, so that either side of a connection may run a newer version.
template <class Record>
void readFields(const nlohmann::json &object, std::span<const JsonField<Record>> fields,
                Record &record, const std::string &place, Findings &findings)
{
    if (!object.is_object()) {
        findings.add(place, "must be an object");
        return;
    }
    for (const JsonField<Record> &field : fields) {
        const std::string fieldPlace = place + "/" + field.name;
        const auto found = object.find(field.name);
        if (found != object.end())
            std::visit([&](auto member) { readJson(*found, record.*member, fieldPlace, findings); },
                       field.member);
        else if (field.required)
            findings.add(fieldPlace, "is missing");
    }
}

template <class Record>
nlohmann::json writeFields(std::span<const JsonField<Record>> fields, const Record &record)
{
    nlohmann::json object = nlohmann::json::object();
    for (const JsonField<Record> &field : fields)
        std::visit([&](auto member) { object[field.name] = writeJson(record.*member); },
                   field.member);
    return object;
}

/// Reads the name of an enum value at `object[key]`, which is required.
template <class Enum>
void readName(const nlohmann::json &object, const char *key, std::span<const JsonName<Enum>> names,
              Enum &target, const std::string &place, Findings &findings)
{
    if (!object.is_object())
        return; // readFields has already reported the mismatch.
    const std::string keyPlace = place + "/" + key;
    const auto found = object.find(key);
    if (found == object.end()) {
        findings.add(keyPlace, "is missing");
        return;
    }
    for (const JsonName<Enum> &name : names) {
        if (*found == name.name) {
            target = name.value;
            return;
        }
    }
    findings.add(keyPlace, "is an unknown name");
}

template <class Enum>
const char *nameOf(std::span<const JsonName<Enum>> names, Enum value)
{
    for (const JsonName<Enum> &name : names) {
        if (name.value == value)
            return name.name;
    }
    return "";
}

/// Reads the array at `object[key]`. A missing array counts as empty. `readEntry(entry, place)`
/// returns one record.
template <class Record, class ReadEntry>
void readArray(const nlohmann::json &object, const char *key, std::vector<Record> &target,
               const std::string &place, Findings &findings, ReadEntry readEntry)
{
    if (!object.is_object() || !object.contains(key))
        return;
    const nlohmann::json &array = object[key];
    const std::string arrayPlace = place + "/" + key;
    if (!array.is_array()) {
        findings.add(arrayPlace, "must be an array");
        return;
    }
    for (std::size_t i = 0; i < array.size(); ++i)
        target.push_back(readEntry(array[i], arrayPlace + "/" + std::to_string(i)));
}

/// Parses a text. Text that is not JSON gives one finding and a null value.
inline nlohmann::json parseJson(std::string_view text, Findings &findings)
{
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_discarded())
        return document;
    findings.add("", "is not JSON");
    return nullptr;
}

} // namespace Hibiscus
