#pragma once

#include <Ledger/JobKeeper.h>
#include <Ledger/LedgerJob.h>

#include <string>

namespace Hibiscus {

/// Builds the messages that a keeper sends, so that each kind is filled in the same way everywhere.
class KeeperReply
{
public:
    /// Sends `answer` as the state of a job that the ledger may not hold.
    static void answer(const std::string &to, CallId call, const std::string &key,
                       const JobAnswer &answer, KeeperActions &out);
    /// Sends the state of a job in the ledger. A final answer is marked as recorded.
    static void jobState(const std::string &to, CallId call, const std::string &key,
                         const LedgerJob &job, KeeperActions &out);
    /// Reports that this instance does not own the shard of the key.
    static void notOwner(const std::string &to, CallId call, const std::string &key,
                         KeeperActions &out);
    /// Answers a dispatcher's request to record an assignment.
    static void assignment(const std::string &to, const AssignJob &message, bool accepted,
                           KeeperActions &out);
    /// Asks a dispatcher to cancel a job.
    static void cancel(const std::string &to, CallId call, const std::string &key,
                       KeeperActions &out);
};

} // namespace Hibiscus
