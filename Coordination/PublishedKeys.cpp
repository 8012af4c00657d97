#include <Coordination/PublishedKeys.h>
#include <Coordination/StoreKeys.h>

namespace Hibiscus::Coordination {

using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::StoreOutcome;

void PublishedKeys::begin(std::int64_t leaderToken)
{
    this->stop();
    this->token = leaderToken;
    this->states.clear();
}

void PublishedKeys::setRevision(const std::string &key, std::int64_t revision)
{
    State &state = this->states[key];
    if (!state.inFlight && !state.text)
        state.revision = revision;
}

bool PublishedKeys::isInFlight(const std::string &key) const
{
    const auto state = this->states.find(key);
    return state != this->states.end() && state->second.inFlight;
}

bool PublishedKeys::isStored(const std::string &key) const
{
    const auto state = this->states.find(key);
    return state != this->states.end() && state->second.text.has_value();
}

/// The write is conditional on the key's revision, so that an earlier write that the store carries
/// out late can't replace a newer text.
void PublishedKeys::publish(const std::string &key, const std::string &text)
{
    State &state = this->states[key];
    if (state.inFlight || state.text == text)
        return;
    state.inFlight = true;
    // Until the answer arrives, any of the texts sent may be the stored one.
    state.text.reset();
    Tasks::StoreCommit commit;
    commit.checks.push_back({StoreKeys::leader, this->token});
    commit.checks.push_back({key, state.revision});
    commit.writes.push_back({key, text, 0});
    const auto answerHandler =
        [this, key, text, generation = this->generation](const StoreAnswer &answer, TimePoint now) {
            if (generation == this->generation)
                this->handleAnswer(key, text, answer, now);
        };
    this->store.commit(commit, this->commitTimeout, answerHandler);
}

void PublishedKeys::handleAnswer(const std::string &key, const std::string &text,
                                 const StoreAnswer &answer, TimePoint now)
{
    State &state = this->states[key];
    state.inFlight = false;
    if (answer.outcome == StoreOutcome::Conflict)
        this->handleConflict(key, text, answer);
    if (answer.outcome != StoreOutcome::Done)
        return;
    state.text = text;
    state.revision = answer.revision;
    this->stored(key, now);
}

/// Learns the key's revision and writes the text again, unless it is stored already or another
/// instance has become the leader.
void PublishedKeys::handleConflict(const std::string &key, const std::string &text,
                                   const StoreAnswer &answer)
{
    const StoredItem *leader = answer.find(StoreKeys::leader);
    if (!leader || leader->revision != this->token)
        return;
    const StoredItem *stored = answer.find(key);
    State &state = this->states[key];
    state.revision = stored ? stored->revision : 0;
    if (stored && stored->value == text)
        state.text = text;
    else
        this->publish(key, text);
}

} // namespace Hibiscus::Coordination
