#include <Core/Findings.h>

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

} // namespace Hibiscus
