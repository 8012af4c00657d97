#pragma once

#include <Core/Time.h>

namespace Hibiscus::Coordination {

/// Timeout of calls that may be repeated without harm. A lost answer is noticed by the usual time
/// of answers instead of the longest one.
class AnswerTimeout
{
public:
    struct Settings
    {
        Duration shortest = milliseconds(200);
        Duration longest = milliseconds(700);
    };

    explicit AnswerTimeout(const Settings &settings)
        : settings(settings)
    {}

    void recordAnswer(Duration took);
    /// Timeout of the given attempt of a call; the first attempt is 1.
    Duration ofAttempt(int attempt) const;

private:
    Settings settings;
    Duration answerTime{}; ///< Running mean.
};

} // namespace Hibiscus::Coordination
