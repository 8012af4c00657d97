#include <Coordination/AnswerTimeout.h>

#include <algorithm>

namespace Hibiscus::Coordination {

void AnswerTimeout::recordAnswer(Duration took)
{
    constexpr int averagedAnswers = 8;
    this->answerTime += (took - this->answerTime) / averagedAnswers;
}

/// A store that has just become slow gets more time with each attempt.
Duration AnswerTimeout::ofAttempt(int attempt) const
{
    constexpr int answerTimes = 8;
    constexpr int maxDoublings = 4;
    const Duration usual = std::max(answerTimes * this->answerTime, this->settings.shortest);
    const Duration backedOff = usual * (1 << std::clamp(attempt - 1, 0, maxDoublings));
    return std::min(backedOff, this->settings.longest);
}

} // namespace Hibiscus::Coordination
