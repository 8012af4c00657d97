#pragma once

#include <Config/Authenticator.h>
#include <Config/Configuration.h>
#include <Config/RequestJson.h>
#include <Entry/CallMetrics.h>
#include <Entry/EntryActions.h>
#include <Entry/Membership.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

/// The callers' side of an entry instance: takes requests in, sees them through keeper and
/// dispatcher wherever these are just now, and answers each caller with the whole truth it has.
class CallerFrontend
{
public:
    struct Settings
    {
        std::string instance;
        std::string dataCenter;
        std::uint32_t shards = 4; ///< Of the ledger.
        std::size_t maxWaitingCalls = 4096; ///< Held calls at this instance, of all customers.
        Duration maxWait = seconds(60); ///< A held call is answered within it, ended or not.
        Duration resendAfter = milliseconds(500); ///< A message that was not acknowledged.
        Duration refreshInterval = seconds(5); ///< News of an acknowledged job are asked for.
        Duration roleTimeout = seconds(6); ///< For a keeper or dispatcher to be found.
        Duration refusalRetryDelay = seconds(1); ///< Told to callers that are refused here.
    };

    explicit CallerFrontend(const Settings &settings);

    void setConfiguration(const Configuration &configuration);

    void submit(CallId call, SubmitBody body, const Membership &members, TimePoint now,
                EntryActions &out);
    /// `wait`: how long the caller stays for a final answer.
    void poll(CallId call, const std::string &customer, const std::string &requestId, Duration wait,
              const Membership &members, TimePoint now, EntryActions &out);
    void cancel(CallId call, const std::string &customer, const std::string &requestId,
                const Membership &members, TimePoint now, EntryActions &out);
    void handleUpdate(const std::string &from, const JobUpdate &message, const Membership &members,
                      TimePoint now, EntryActions &out);
    void tick(const Membership &members, TimePoint now, EntryActions &out);

    std::size_t waitingCalls() const;
    const CallMetrics &metrics() const { return this->callMetrics; }
    std::size_t openRequests() const { return this->requests.size(); }

private:
    /// What is being asked for a request, and of whom.
    enum class Stage : std::uint8_t {
        QueryKeeper, ///< Is the key known?
        QueryDispatcher, ///< Same, for requests that are not durable.
        Admit, ///< Would the dispatcher take it?
        Claim, ///< The keeper records it and sees it through.
        Dispatch, ///< The dispatcher has it (not durable).
    };

    struct Waiter
    {
        CallId call;
        TimePoint answerBy{};
        bool wantsFinal = false;
    };

    struct Request
    {
        std::string key;
        JobSpec spec; ///< Only the ids are set if this instance never saw the submission.
        bool submitting = false;
        bool retry = false; ///< An earlier call may be under way elsewhere.
        bool cancelling = false;
        Stage stage = Stage::QueryKeeper;
        bool handedOver = false; ///< A message that may start work has been sent.
        bool acknowledged = false; ///< The receiver of the present stage has answered.
        std::string sentTo;
        std::uint64_t sentToIncarnation = 0;
        TimePoint sentAt{};
        TimePoint stageSince{};
        TimePoint arrivedAt{}; ///< Of the submission.
        std::string dataCenter; ///< Whose dispatcher is asked.
        std::vector<std::string> refusedBy; ///< Data centres that would not take it.
        JobAnswer latestAnswer;
        /// The dispatchers' refusal, told once the keeper has said again that the key is unknown.
        std::optional<JobAnswer> refusal;
        std::vector<Waiter> waiters;
    };

    bool canHoldCall(const std::string &customer) const;
    Request &findOrOpenRequest(const std::string &customer, const std::string &requestId,
                               TimePoint now);
    void addWaiter(Request &request, CallId call, TimePoint until, bool wantsFinal);
    void enterStage(Request &request, Stage stage, const Membership &members, TimePoint now,
                    EntryActions &out);
    std::optional<Membership::Member> stageReceiver(const Request &request,
                                                    const Membership &members, TimePoint now) const;
    void sendStageMessage(Request &request, const Membership &members, TimePoint now,
                          EntryActions &out);
    PeerMessage makeMessage(const Request &request) const;
    /// Another data centre that may take what `request.dataCenter` refused, or nothing.
    std::optional<std::string> nextDataCenter(const Request &request, const Membership &members,
                                              TimePoint now) const;
    void handleStageAnswer(Request &request, const JobUpdate &message, const Membership &members,
                           TimePoint now, EntryActions &out);
    void handleKeeperAnswer(Request &request, const JobUpdate &message, const Membership &members,
                            TimePoint now, EntryActions &out);
    void handleDispatcherAnswer(Request &request, const JobUpdate &message,
                                const Membership &members, TimePoint now, EntryActions &out);
    /// Answers those who wait: all of them if `final`, else those who only wanted acceptance.
    void answerWaiters(Request &request, const JobAnswer &answer, bool final, EntryActions &out);
    void finishRequest(Request &request, const JobAnswer &answer, TimePoint now, EntryActions &out);
    bool isKnownNotRun(const Request &request) const;
    /// A refusal as it may be told: it speaks for earlier calls too only if none can exist.
    JobAnswer qualifyRefusal(const Request &request, const JobAnswer &refusal) const;
    JobAnswer currentAnswer(const Request &request) const;
    bool tickRequest(Request &request, const Membership &members, TimePoint now, EntryActions &out);

    Settings settings;
    std::map<std::string, std::uint32_t> waitingLimits; ///< By customer.
    std::map<std::string, std::size_t> waitingByCustomer; ///< Held calls by customer.
    std::size_t totalWaiting = 0;
    std::map<std::string, Request> requests; ///< By job key.
    CallMetrics callMetrics;
};

} // namespace Hibiscus
