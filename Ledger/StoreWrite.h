#pragma once

#include <Gateway/Store.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Hibiscus {

/// One compare-and-swap that is seen through to a certain end, whatever answers are lost. Its
/// value must be unlike any other value ever written (it names its writer), since reading back
/// tells by the value whose write took effect.
class StoreWrite
{
public:
    enum class Step : std::uint8_t {
        Retry, ///< No answer: make `request` after a backoff.
        Again, ///< Make `request` now.
        Written, ///< Took effect, once; see `revision`.
        Conflict, ///< Never took effect and never will; see `present`.
    };

    /// `expectedRevision` is 0 if the key must be absent.
    StoreWrite(std::string key, std::string value, std::int64_t expectedRevision);

    StoreRequest request() const;
    /// Takes the reply to the last request.
    Step reply(const StoreReply &reply);

    /// True if the next request writes.
    bool writesNext() const { return !this->readsBack; }
    const std::string &keyName() const { return this->key; }
    std::size_t bytes() const { return this->value.size(); }
    std::int64_t revision() const { return this->writtenRevision; }
    const std::optional<StoreEntry> &present() const { return this->found; }

private:
    Step settle(const StoreReply &reply);

    std::string key;
    std::string value;
    std::int64_t expectedRevision;
    bool readsBack = false;
    std::int64_t writtenRevision = 0;
    std::optional<StoreEntry> found;
};

} // namespace Hibiscus
