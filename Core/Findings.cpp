#include <Core/Findings.h>

namespace Hibiscus {

void Findings::add(std::string_view location, std::string_view message)
{
    this->entries.push_back({std::string(location), std::string(message)});
}

void Findings::append(const Findings &others)
{
    this->entries.insert(this->entries.end(), others.entries.begin(), others.entries.end());
}

std::string Findings::toString() const
{
    std::string text;
    for (const Finding &finding : this->entries)
        text += finding.location + ": " + finding.message + "\n";
    return text;
}

} // namespace Hibiscus
