#include <Hibiscusctl/CheckReport.h>
#include <platform/Formats.h>

#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace {

/// A part of the report and its name in both forms.
struct Section
{
    const char *name;
    const Findings *findings;
};

std::vector<Section> sectionsOf(const CheckReport &report)
{
    return {{"errors", &report.errors},
            {"unreachable", &report.faults.unreachable},
            {"contradictions", &report.faults.contradictions},
            {"differences", &report.differences}};
}

std::string renderJson(const CheckReport &report)
{
    nlohmann::json value;
    for (const Section &section : sectionsOf(report)) {
        nlohmann::json list = nlohmann::json::array();
        for (const Finding &finding : section.findings->all())
            list.push_back({{"location", finding.location}, {"message", finding.message}});
        value[section.name] = std::move(list);
    }
    // Texts of the file may be in any encoding.
    return value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace

CheckReport checkConfigurationText(const std::string &text, const std::string &inForce)
{
    CheckReport report;
    const auto proposed = Platform::decodeConfiguration(text);
    if (!proposed) {
        report.errors = proposed.error();
        return report;
    }
    report.faults = Tasks::checkConfiguration(*proposed);
    if (inForce.empty())
        return report;
    const auto known = Platform::decodeConfiguration(inForce);
    if (!known) {
        report.errors.add("version in force", "can't be decoded:");
        report.errors.append(known.error());
        return report;
    }
    if (proposed->version <= known->version)
        report.faults.contradictions.add("version", "is not higher than that in force");
    report.differences = Tasks::compareConfigurations(*known, *proposed);
    return report;
}

std::string renderReport(const CheckReport &report, bool json)
{
    if (json)
        return renderJson(report);
    std::string text;
    for (const Section &section : sectionsOf(report)) {
        if (!section.findings->isEmpty())
            text += std::string(section.name) + ":\n" + section.findings->toString();
    }
    return text.empty() ? "no findings\n" : text;
}

} // namespace Hibiscus
