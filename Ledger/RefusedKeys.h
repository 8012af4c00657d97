#pragma once

#include <Core/Job.h>
#include <Core/Time.h>

#include <deque>
#include <map>
#include <string>

namespace Hibiscus {

/// Keys of submissions that were refused "not run" a short while ago. Other copies of such a
/// submission, from whomever, get the same answer, so that it stays true. Bounded in number.
class RefusedKeys
{
public:
    void add(const std::string &key, const JobAnswer &answer, TimePoint now, Duration repeated);
    /// The refusal that is still to be repeated; null if there is none.
    const JobAnswer *find(const std::string &key, TimePoint now);
    void clear();

private:
    struct Refusal
    {
        JobAnswer answer;
        TimePoint until;
    };

    void dropExpired(TimePoint now);
    void dropOldest();

    std::map<std::string, Refusal> refusals;
    std::deque<std::string> order;
};

} // namespace Hibiscus
