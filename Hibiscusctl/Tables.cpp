#include <Hibiscusctl/Tables.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Hibiscus {
namespace {

using nlohmann::json;
using Row = std::vector<std::string>;

constexpr std::size_t columnGap = 2;

// Replaces control characters by '?', as texts of callers could otherwise control the operator's
// terminal.
std::string printable(std::string text)
{
    std::ranges::replace_if(
        text, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }, '?');
    return text;
}

std::string cell(const json &value);

std::string joined(const json &values)
{
    std::string text;
    for (const auto &item : values.items()) {
        text += text.empty() ? "" : ", ";
        text += values.is_object() ? item.key() + " " : "";
        text += cell(item.value());
    }
    return text.empty() ? "-" : text;
}

std::string cell(const json &value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    if (value.is_structured())
        return joined(value);
    return value.dump();
}

/// Returns the text of a field, or "-" if it is missing.
std::string cellAt(const json &object, const char *field)
{
    return object.is_object() && object.contains(field) ? cell(object[field]) : "-";
}

const json &listAt(const json &object, const char *field)
{
    static const json none = json::array();
    return object.contains(field) && object[field].is_array() ? object[field] : none;
}

std::string renderFindings(const json &body)
{
    std::string text;
    for (const json &finding : listAt(body, "findings"))
        text += printable(cellAt(finding, "place") + ": " + cellAt(finding, "message")) + "\n";
    return text;
}

std::string renderFields(const json &body, std::initializer_list<const char *> left)
{
    std::vector<Row> rows;
    for (const auto &item : body.items()) {
        const bool isLeft = std::ranges::find(left, item.key()) != left.end();
        if (!isLeft)
            rows.push_back({item.key(), cell(item.value())});
    }
    return renderTable(rows);
}

std::string renderCustomers(const json &body)
{
    std::vector<Row> rows{{"CUSTOMER", "SHARE", "CALLERS", "GUARANTEES", "KEYS"}};
    for (const json &customer : listAt(body, "customers")) {
        std::string keys;
        for (const json &key : listAt(customer, "keys"))
            keys += (keys.empty() ? "" : ", ") + cellAt(key, "name");
        rows.push_back({cellAt(customer, "name"), cellAt(customer, "share"),
                        cellAt(customer, "waitingCallers"), cellAt(customer, "guarantees"),
                        keys.empty() ? "-" : keys});
    }
    return "revision " + cellAt(body, "revision") + "\n" + renderTable(rows);
}

std::string renderPresets(const json &body)
{
    std::vector<Row> rows{{"PRESET", "IN FORCE", "LENDING", "CLOSED DATA CENTRES"}};
    const std::string inForce = cellAt(body, "presetInForce");
    for (const json &preset : listAt(body, "presets")) {
        const std::string name = cellAt(preset, "name");
        rows.push_back({name, name == inForce ? "yes" : "no", cellAt(preset, "lending"),
                        cellAt(preset, "closedDataCenters")});
    }
    return "revision " + cellAt(body, "revision") + "\n" + renderTable(rows);
}

std::string renderStatus(const json &body)
{
    std::string text = renderFields(body, {"dispatchers"});
    for (const json &dispatcher : listAt(body, "dispatchers"))
        text += "\ndispatcher of " + printable(cellAt(dispatcher, "dataCenter")) + "\n"
            + renderFields(dispatcher, {"dataCenter", "shortfalls"})
            + renderTable({{"shortfalls", joined(listAt(dispatcher, "shortfalls"))}});
    return text;
}

} // namespace

std::string renderTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const Row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const Row &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            text += printable(row[i]);
            if (i + 1 < row.size())
                text.append(widths[i] - row[i].size() + columnGap, ' ');
        }
        text += '\n';
    }
    return text;
}

std::string renderReply(CommandKind kind, std::string_view body)
{
    const json value = json::parse(body, nullptr, false);
    if (!value.is_object())
        return std::string(body) + "\n";
    if (value.contains("customers") && kind == CommandKind::CustomerList)
        return renderCustomers(value);
    if (value.contains("presets") && kind == CommandKind::PresetList)
        return renderPresets(value);
    if (kind == CommandKind::Show)
        return renderStatus(value);
    return renderFields(value, {"findings"}) + renderFindings(value);
}

} // namespace Hibiscus
