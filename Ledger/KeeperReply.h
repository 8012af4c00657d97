#pragma once

#include <Ledger/JobKeeper.h>
#include <Ledger/KeptJob.h>

#include <string>

namespace Hibiscus {

/// The messages that a keeper sends, in one place so that they are always filled in alike.
class KeeperReply
{
public:
    static void news(const std::string &to, CallId call, const std::string &key,
                     const JobAnswer &answer, KeeperActions &out);
    /// How a job stands by the ledger; marked as recorded if that is its end.
    static void state(const std::string &to, CallId call, const std::string &key,
                      const KeptJob &job, KeeperActions &out);
    /// This instance does not own the key's shard.
    static void notOwner(const std::string &to, CallId call, const std::string &key,
                         KeeperActions &out);
    static void assignment(const std::string &to, const AssignJob &message, bool accepted,
                           KeeperActions &out);
    static void cancel(const std::string &to, CallId call, const std::string &key,
                       KeeperActions &out);
};

} // namespace Hibiscus
