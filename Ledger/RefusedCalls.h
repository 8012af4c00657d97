#pragma once

#include <Core/Ids.h>
#include <Core/Job.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace Hibiscus {

/// Submissions that were answered "not run", so that a copy of one that arrives after the answer
/// gets the same answer. Keeps the last few thousand. Call 0 is no name of a submission.
class RefusedCalls
{
public:
    void add(const std::string &instance, CallId call, const JobAnswer &answer);
    /// The answer that was given; null if there was none.
    const JobAnswer *find(const std::string &instance, CallId call) const;
    void clear();

private:
    using Name = std::pair<std::string, std::uint64_t>;

    std::map<Name, JobAnswer> answers;
    std::deque<Name> order;
};

} // namespace Hibiscus
