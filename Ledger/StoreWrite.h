#pragma once

#include <Gateway/Store.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Hibiscus {

/// One compare-and-swap that is repeated or read back until its outcome is certain, even if answers
/// are lost. Its value has to differ from every other value ever written (it names its writer),
/// because the value read back tells which write took effect.
class StoreWrite
{
public:
    enum class Step : std::uint8_t {
        Retry, ///< No answer: make `request` after a backoff.
        Continue, ///< Make `request` now.
        Written, ///< The write took effect exactly once, see `revision`.
        Conflict, ///< The write has not taken effect and never will, see `present`.
    };

    /// `expectedRevision` is 0 if the key must be absent.
    StoreWrite(std::string key, std::string value, std::int64_t expectedRevision);

    StoreRequest request() const;
    /// Handles the reply to the last request.
    Step reply(const StoreReply &reply);

    /// Returns true if the next request is a write rather than a read.
    bool writesNext() const { return !this->readsBack; }
    const std::string &keyName() const { return this->key; }
    std::size_t bytes() const { return this->value.size(); }
    std::int64_t revision() const { return this->writtenRevision; }
    const std::optional<StoreEntry> &present() const { return this->found; }

private:
    Step compareFound(const StoreReply &reply);

    std::string key;
    std::string value;
    std::int64_t expectedRevision;
    bool readsBack = false;
    std::int64_t writtenRevision = 0;
    std::optional<StoreEntry> found;
};

} // namespace Hibiscus
