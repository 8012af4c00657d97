#pragma once

#include <Tasks/MetadataStore.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Hibiscus::Coordination {

/// The keys of the store that the leader writes whole and other instances, or the next leader,
/// read: the load, the waits, the silent workers and the workers' speeds. A write takes effect only
/// while this instance leads, and never replaces a newer text. One write of a key is in flight at a
/// time.
class PublishedKeys
{
public:
    /// Called when a text is stored.
    using StoredHandler = std::function<void(const std::string &key, TimePoint now)>;

    PublishedKeys(Tasks::MetadataStore &store, Duration commitTimeout, StoredHandler stored)
        : store(store)
        , commitTimeout(commitTimeout)
        , stored(std::move(stored))
    {}

    /// Begins the term of a leader with this fencing token; nothing is known of the stored texts.
    void begin(std::int64_t leaderToken);
    /// Ignores all answers to calls made so far.
    void stop() { this->generation++; }

    /// Notes the stored revision of a key that was read. Has no effect after the key's first write.
    void setRevision(const std::string &key, std::int64_t revision);
    /// Writes the text, unless it is stored already or a write of the key is in flight.
    void publish(const std::string &key, const std::string &text);

    bool isInFlight(const std::string &key) const;
    /// Whether the text that was published last is known to be stored.
    bool isStored(const std::string &key) const;

private:
    struct State
    {
        std::optional<std::string> text; ///< Stored text; empty if it is unknown.
        std::int64_t revision = 0; ///< Last known revision.
        bool inFlight = false;
    };

    void handleAnswer(const std::string &key, const std::string &text,
                      const Tasks::StoreAnswer &answer, TimePoint now);
    void handleConflict(const std::string &key, const std::string &text,
                        const Tasks::StoreAnswer &answer);

    Tasks::MetadataStore &store;
    Duration commitTimeout;
    StoredHandler stored;
    std::int64_t token = 0;
    std::uint64_t generation = 0; ///< Answers to calls of earlier generations are ignored.
    std::map<std::string, State> states;
};

} // namespace Hibiscus::Coordination
