#include <Ledger/KeeperReply.h>

namespace Hibiscus {

void KeeperReply::answer(const std::string &to, CallId call, const std::string &key,
                         const JobAnswer &answer, KeeperActions &out)
{
    out.sends.push_back({.instance = to,
                         .message = JobUpdate{
                             .call = call, .from = JobRole::Keeper, .key = key, .answer = answer}});
}

void KeeperReply::jobState(const std::string &to, CallId call, const std::string &key,
                           const LedgerJob &job, KeeperActions &out)
{
    out.sends.push_back({.instance = to,
                         .message = JobUpdate{.call = call,
                                              .from = JobRole::Keeper,
                                              .key = key,
                                              .answer = job.answer(),
                                              .recorded = job.isFinished()}});
}

void KeeperReply::notOwner(const std::string &to, CallId call, const std::string &key,
                           KeeperActions &out)
{
    JobUpdate update{.call = call, .from = JobRole::Keeper, .key = key, .notOwner = true};
    update.answer.reason = "this instance does not keep the request";
    out.sends.push_back({.instance = to, .message = update});
}

void KeeperReply::assignment(const std::string &to, const AssignJob &message, bool accepted,
                             KeeperActions &out)
{
    out.sends.push_back({.instance = to,
                         .message = AssignReply{.call = message.call,
                                                .key = message.key,
                                                .attempt = message.attempt,
                                                .accepted = accepted}});
}

void KeeperReply::cancel(const std::string &to, CallId call, const std::string &key,
                         KeeperActions &out)
{
    out.sends.push_back(
        {.instance = to,
         .message = CancelJob{.call = call, .role = JobRole::Dispatcher, .key = key}});
}

} // namespace Hibiscus
