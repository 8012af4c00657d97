#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// One thing wrong with an input. `place` is a JSON pointer, a file and line, or an option's name.
struct Finding
{
    std::string location;
    std::string message;

    bool operator==(const Finding &) const = default;
};

/// Collects everything wrong with one input, so that all of it is reported together.
class Findings
{
public:
    void add(std::string_view location, std::string_view message);
    void append(const Findings &others);

    bool isEmpty() const { return this->entries.empty(); }
    const std::vector<Finding> &all() const { return this->entries; }

    /// One finding a line, "place: message".
    std::string toString() const;

private:
    std::vector<Finding> entries;
};

} // namespace Hibiscus
