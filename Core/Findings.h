#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/// One problem found in an input. `location` is a JSON pointer, a file and line, or the name of an
/// option.
struct Finding
{
    std::string location;
    std::string message;

    bool operator==(const Finding &) const = default;
};

/// Collects all problems of one input, so that they are reported together.
class Findings
{
public:
    void add(std::string_view location, std::string_view message);
    void append(const Findings &others);

    /// Findings beyond this number are counted and not kept, so that an input full of faults takes
    /// little memory and its report fits into a line of the log.
    static constexpr std::size_t maxEntries = 100;

    bool isEmpty() const { return this->entries.empty(); }
    const std::vector<Finding> &all() const { return this->entries; }

    /// One finding per line, as "location: message", and the number of those that were not kept.
    std::string toString() const;

    bool operator==(const Findings &) const = default;

private:
    std::vector<Finding> entries;
    std::size_t omitted = 0;
};

/// Tells which findings of an input that is read again and again are new, so that each is logged
/// once for as long as it stays.
class RepeatedFindings
{
public:
    /// Returns the findings of this read that the previous read did not have.
    std::vector<Finding> takeNew(const Findings &findings);

private:
    std::vector<Finding> previous;
};

} // namespace Hibiscus
