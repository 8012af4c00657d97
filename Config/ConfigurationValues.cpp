#include <Config/ConfigurationValues.h>

#include <Config/JsonSchema.h>
#include <Config/Names.h>

#include <algorithm>

namespace Hibiscus {

using nlohmann::json;

namespace {

constexpr std::array cellNames{"slot", "pair", "quad", "worker", "rack"};
static_assert(cellNames.size() == cellLevelCount);

Duration fromMs(const json &value, const char *key, Duration defaultValue)
{
    const auto found = value.find(key);
    return found == value.end() ? defaultValue : milliseconds(found->get<std::int64_t>());
}

std::string readName(const json &value, const char *key, const std::string &place,
                     Findings &findings)
{
    auto name = value.at(key).get<std::string>();
    checkName(name, pointerTo(place, key), findings);
    return name;
}

std::string readHex(const json &value, const char *key, const std::string &place,
                    Findings &findings)
{
    auto text = value.at(key).get<std::string>();
    if (!isHex(text))
        findings.add(pointerTo(place, key), "must be an even number of hexadecimal digits");
    return text;
}

json toValue(const CellCounts &cells)
{
    json value = json::object();
    for (std::size_t level = 0; level < cellLevelCount; ++level) {
        if (cells[level] != 0)
            value[cellNames[level]] = cells[level];
    }
    return value;
}

CellCounts readCells(const json &value)
{
    CellCounts cells{};
    for (std::size_t level = 0; level < cellLevelCount; ++level)
        cells[level] = value.value(cellNames[level], 0U);
    return cells;
}

json toValue(const ClassLimits &limits)
{
    return {{"queuedPerCustomer", limits.queuedPerCustomer},
            {"keptShare", limits.keptShare},
            {"largestShare", limits.largestShare},
            {"ageingMs", toMs(limits.ageing)},
            {"longestRunMs", toMs(limits.longestRun)}};
}

ClassLimits readLimits(const json &value)
{
    ClassLimits limits;
    limits.queuedPerCustomer = value.value("queuedPerCustomer", limits.queuedPerCustomer);
    limits.keptShare = value.value("keptShare", limits.keptShare);
    limits.largestShare = value.value("largestShare", limits.largestShare);
    limits.ageing = fromMs(value, "ageingMs", limits.ageing);
    limits.longestRun = fromMs(value, "longestRunMs", limits.longestRun);
    return limits;
}

/// Reads one kind of operation of a change, which is identified by its JSON key.
struct OperationReader
{
    const char *key;
    void (*read)(const json &value, const std::string &place, Findings &findings,
                 ConfigChange &change);
};

template <class Operation>
void readNamed(const json &value, const std::string &place, Findings &findings,
               ConfigChange &change)
{
    const auto name = value.get<std::string>();
    checkName(name, place, findings);
    change.operation = Operation{name};
}

constexpr std::array<OperationReader, 5> operationReaders{{
    {"putCustomer",
     [](const json &value, const std::string &place, Findings &findings, ConfigChange &change) {
         change.operation = PutCustomer{readCustomer(value, place, findings)};
     }},
    {"removeCustomer", readNamed<RemoveCustomer>},
    {"putPreset",
     [](const json &value, const std::string &place, Findings &findings, ConfigChange &change) {
         change.operation = PutPreset{readPreset(value, place, findings)};
     }},
    {"removePreset", readNamed<RemovePreset>},
    {"switchPreset", readNamed<SwitchPreset>},
}};

struct OperationWriter
{
    json &value;

    void operator()(const PutCustomer &put) { this->value["putCustomer"] = toValue(put.customer); }
    void operator()(const RemoveCustomer &remove) { this->value["removeCustomer"] = remove.name; }
    void operator()(const PutPreset &put) { this->value["putPreset"] = toValue(put.preset); }
    void operator()(const RemovePreset &remove) { this->value["removePreset"] = remove.name; }
    void operator()(const SwitchPreset &change) { this->value["switchPreset"] = change.name; }
};

} // namespace

json toValue(const ApiKey &key)
{
    return {{"name", key.name},
            {"role", key.role == Role::Operator ? "operator" : "caller"},
            {"salt", key.salt},
            {"hash", key.hash}};
}

ApiKey readKey(const json &value, const std::string &place, Findings &findings)
{
    ApiKey key;
    key.name = readName(value, "name", place, findings);
    key.role = value.at("role") == "operator" ? Role::Operator : Role::Caller;
    key.salt = readHex(value, "salt", place, findings);
    key.hash = readHex(value, "hash", place, findings);
    return key;
}

json toValue(const Customer &customer)
{
    json guarantees = json::object();
    for (const auto &[dataCenter, cells] : customer.guarantees)
        guarantees[dataCenter] = toValue(cells);
    json keys = json::array();
    for (const ApiKey &key : customer.keys)
        keys.push_back(toValue(key));
    return {{"name", customer.name},
            {"guarantees", guarantees},
            {"share", customer.share},
            {"waitingCallers", customer.waitingCallers},
            {"keys", keys}};
}

Customer readCustomer(const json &value, const std::string &place, Findings &findings)
{
    Customer customer;
    customer.name = readName(value, "name", place, findings);
    customer.share = value.value("share", customer.share);
    customer.waitingCallers = value.value("waitingCallers", customer.waitingCallers);
    if (value.contains("guarantees")) {
        const std::string parent = pointerTo(place, "guarantees");
        for (const auto &[dataCenter, cells] : value["guarantees"].items()) {
            checkName(dataCenter, pointerTo(parent, dataCenter), findings);
            customer.guarantees[dataCenter] = readCells(cells);
        }
    }
    if (value.contains("keys")) {
        const std::string parent = pointerTo(place, "keys");
        for (const json &key : value["keys"]) {
            const std::string index = std::to_string(customer.keys.size());
            customer.keys.push_back(readKey(key, pointerTo(parent, index), findings));
        }
    }
    return customer;
}

json toValue(const Preset &preset)
{
    json classes = json::object();
    for (std::size_t i = 0; i < urgencyClassCount; ++i)
        classes[toString(static_cast<UrgencyClass>(i))] = toValue(preset.classes[i]);
    return {{"name", preset.name},
            {"lending", preset.lending},
            {"classes", classes},
            {"closedDataCenters", preset.closedDataCenters}};
}

Preset readPreset(const json &value, const std::string &place, Findings &findings)
{
    Preset preset;
    preset.name = readName(value, "name", place, findings);
    preset.lending = value.value("lending", preset.lending);
    const json classes = value.value("classes", json::object());
    for (const auto &[name, limits] : classes.items())
        preset.classes[static_cast<std::size_t>(*urgencyClassFromString(name))]
            = readLimits(limits);
    preset.closedDataCenters = value.value("closedDataCenters", preset.closedDataCenters);
    const std::string parent = pointerTo(place, "closedDataCenters");
    for (std::size_t i = 0; i < preset.closedDataCenters.size(); ++i)
        checkName(preset.closedDataCenters[i], pointerTo(parent, std::to_string(i)), findings);
    return preset;
}

json toValue(const Configuration &configuration)
{
    json customers = json::array();
    for (const auto &[name, customer] : configuration.customers)
        customers.push_back(toValue(customer));
    json presets = json::array();
    for (const auto &[name, preset] : configuration.presets)
        presets.push_back(toValue(preset));
    return {{"revision", configuration.revision},
            {"customers", customers},
            {"presets", presets},
            {"presetInForce", configuration.presetInForce}};
}

Configuration readConfiguration(const json &value, const std::string &place, Findings &findings)
{
    Configuration configuration;
    configuration.revision = value.at("revision").get<std::uint64_t>();
    configuration.presetInForce = value.at("presetInForce").get<std::string>();
    std::size_t index = 0;
    for (const json &item : value.at("customers")) {
        const std::string parent = pointerTo(place, "customers");
        Customer customer
            = readCustomer(item, pointerTo(parent, std::to_string(index++)), findings);
        configuration.customers[customer.name] = std::move(customer);
    }
    index = 0;
    for (const json &item : value.at("presets")) {
        const std::string parent = pointerTo(place, "presets");
        Preset preset = readPreset(item, pointerTo(parent, std::to_string(index++)), findings);
        configuration.presets[preset.name] = std::move(preset);
    }
    return configuration;
}

json toValue(const ConfigChange &change)
{
    json value{{"changeId", change.changeId}};
    if (change.basedOn)
        value["basedOn"] = *change.basedOn;
    std::visit(OperationWriter{value}, change.operation);
    return value;
}

ConfigChange readChange(const json &value, const std::string &place, Findings &findings)
{
    ConfigChange change;
    change.changeId = readName(value, "changeId", place, findings);
    if (value.contains("basedOn"))
        change.basedOn = value["basedOn"].get<std::uint64_t>();
    int operations = 0;
    for (const OperationReader &reader : operationReaders) {
        if (!value.contains(reader.key))
            continue;
        ++operations;
        reader.read(value[reader.key], pointerTo(place, reader.key), findings, change);
    }
    if (operations != 1)
        findings.add(place,
                     "must hold exactly one of putCustomer, removeCustomer, putPreset, "
                     "removePreset, switchPreset");
    return change;
}

} // namespace Hibiscus
