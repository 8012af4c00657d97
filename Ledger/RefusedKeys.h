#pragma once

#include <Core/Job.h>
#include <Core/Time.h>

#include <deque>
#include <map>
#include <string>

namespace Hibiscus {

/// Keys of submissions that were recently refused with NotRun. Other copies of such a submission,
/// from any instance, get the same answer, so that the refusal stays true. The number of keys is
/// bounded.
class RefusedKeys
{
public:
    /// Repeats `answer` for `key` until `validFor` has passed.
    void add(const std::string &key, const JobAnswer &answer, TimePoint now, Duration validFor);
    /// Returns the refusal that is to be repeated for the key, or null if there is none.
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
