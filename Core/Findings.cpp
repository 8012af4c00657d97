#include <Core/Findings.h>

#include <algorithm>

namespace Hibiscus {

void Findings::add(std::string_view location, std::string_view message)
{
    if (this->entries.size() < maxEntries)
        this->entries.push_back({std::string(location), std::string(message)});
    else
        this->omitted++;
}

void Findings::append(const Findings &others)
{
    for (const Finding &finding : others.entries)
        this->add(finding.location, finding.message);
    this->omitted += others.omitted;
}

std::string Findings::toString() const
{
    std::string text;
    for (const Finding &finding : this->entries)
        text += finding.location + ": " + finding.message + "\n";
    if (this->omitted > 0)
        text += std::to_string(this->omitted) + " more findings\n";
    return text;
}

std::vector<Finding> RepeatedFindings::takeNew(const Findings &findings)
{
    std::vector<Finding> added;
    for (const Finding &finding : findings.all()) {
        if (std::ranges::find(this->previous, finding) == this->previous.end())
            added.push_back(finding);
    }
    this->previous = findings.all();
    return added;
}

} // namespace Hibiscus
