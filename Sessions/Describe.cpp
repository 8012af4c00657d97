#include <Sessions/Describe.h>

#include <array>

namespace Hibiscus {

namespace {

struct PeerDescription
{
    std::string operator()(const SubmitJob &message) const
    {
        std::string text = "submit " + jobKey(message.spec.customer, message.spec.requestId);
        text += message.role == JobRole::Keeper ? " to keeper" : " to dispatcher";
        text += " attempt " + std::to_string(message.attempt);
        for (const TaskPlace &place : message.places)
            text += " at " + place.worker;
        return text;
    }
    std::string operator()(const AdmitJob &message) const
    {
        return "admit? " + jobKey(message.spec.customer, message.spec.requestId);
    }
    std::string operator()(const CancelJob &message) const { return "cancel " + message.key; }
    std::string operator()(const QueryJob &message) const { return "query " + message.key; }
    std::string operator()(const JobUpdate &message) const
    {
        std::string text = "update " + message.key + ' ' + toString(message.answer.status);
        if (!message.answer.reason.empty())
            text += " (" + message.answer.reason + ')';
        text += message.recorded ? " recorded" : "";
        text += message.admission ? " admission" : "";
        text += message.notOwner ? " not owner" : "";
        return text;
    }
    std::string operator()(const AssignJob &message) const
    {
        std::string text = message.places.empty() ? "give up " : "assign ";
        text += message.key + " attempt " + std::to_string(message.attempt);
        for (const TaskPlace &place : message.places)
            text += " at " + place.worker;
        return text;
    }
    std::string operator()(const AssignReply &message) const
    {
        return std::string(message.accepted ? "accepts" : "refuses") + " assignment of "
            + message.key + " attempt " + std::to_string(message.attempt);
    }
    template <class Other>
    std::string operator()(const Other &) const
    {
        return {};
    }
};

} // namespace

std::string describe(const WorkerRequest &request)
{
    constexpr std::array verbs{"acquire", "renew",      "release",  "reserve",     "start",
                               "stop",    "checkpoint", "throttle", "acknowledge", "collect"};
    std::string text = verbs.at(static_cast<std::size_t>(request.verb));
    text += " epoch " + std::to_string(request.epoch);
    if (!request.task.empty())
        text += " task " + request.task;
    if (request.slots != 0)
        text += " slots " + std::to_string(request.slots);
    return text;
}

std::string describe(const StoreRequest &request)
{
    constexpr std::array verbs{"get",        "list",      "swap",       "remove",
                               "grantLease", "keepLease", "revokeLease"};
    std::string text = verbs.at(static_cast<std::size_t>(request.verb));
    text += ' ' + request.key;
    if (request.verb == StoreVerb::CompareAndSwap)
        text += " if " + std::to_string(request.revision) + ": " + request.value;
    return text;
}

std::string describe(const PeerMessage &message)
{
    return std::visit(PeerDescription(), message);
}

} // namespace Hibiscus
