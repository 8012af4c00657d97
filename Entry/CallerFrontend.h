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

/// The caller-facing side of an entry instance: accepts requests, passes them to the current keeper
/// and dispatcher, repeats messages until they are acknowledged, and answers each caller with the
/// most precise outcome known.
class CallerFrontend
{
public:
    struct Settings
    {
        std::string instance;
        std::string dataCenter;
        std::uint32_t shards = 4; ///< Number of ledger shards.
        /// Limit of held calls at this instance, over all customers.
        std::size_t maxWaitingCalls = 4096;
        /// A held call is answered within this time, even if the job has not ended.
        Duration maxWait = seconds(60);
        Duration resendAfter = milliseconds(500); ///< Resend interval of unacknowledged messages.
        Duration refreshInterval = seconds(5); ///< Query interval of acknowledged jobs.
        Duration roleTimeout = seconds(6); ///< Time limit for finding a keeper or dispatcher.
        /// Retry delay returned with refusals of this instance.
        Duration refusalRetryDelay = seconds(1);
    };

    explicit CallerFrontend(const Settings &settings);

    void setConfiguration(const Configuration &configuration);

    void submit(CallId call, SubmitBody body, const Membership &members, TimePoint now,
                EntryActions &out);
    /// Answers with the state of a request, or waits for its final answer for at most `wait`.
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
    /// Step that a request is at, with the role that is asked.
    enum class Stage : std::uint8_t {
        QueryKeeper, ///< Ask the keeper whether the key is known.
        /// Ask the dispatcher whether the key is known, for requests that are not durable.
        QueryDispatcher,
        Admit, ///< Ask the dispatcher whether it would accept the job.
        Claim, ///< The keeper records the job and drives it to its end.
        Dispatch, ///< The dispatcher holds the job, which is not durable.
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
        JobSpec spec; ///< Only the ids are set if this instance did not receive the submission.
        bool submitting = false;
        bool retry = false; ///< An earlier call may be in progress at another instance.
        bool cancelling = false;
        Stage stage = Stage::QueryKeeper;
        bool handedOver = false; ///< A message that may start the job has been sent.
        bool acknowledged = false; ///< The receiver of the current stage has answered.
        std::string sentTo;
        std::uint64_t sentToIncarnation = 0;
        TimePoint sentAt{};
        TimePoint stageSince{};
        TimePoint arrivedAt{}; ///< When the submission arrived.
        std::string dataCenter; ///< Data centre whose dispatcher is asked.
        std::vector<std::string> refusedBy; ///< Data centres that refused the job.
        JobAnswer latestAnswer;
        /// The dispatchers' refusal, which is returned once the keeper has confirmed that the key
        /// is still unknown.
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
    /// Returns the data centre with the most free slots among those that have not refused the job,
    /// or nothing.
    std::optional<std::string> nextDataCenter(const Request &request, const Membership &members,
                                              TimePoint now) const;
    void handleStageAnswer(Request &request, const JobUpdate &message, const Membership &members,
                           TimePoint now, EntryActions &out);
    void handleKeeperAnswer(Request &request, const JobUpdate &message, const Membership &members,
                            TimePoint now, EntryActions &out);
    void handleDispatcherAnswer(Request &request, const JobUpdate &message,
                                const Membership &members, TimePoint now, EntryActions &out);
    /// Answers the waiting calls: all of them if `final`, otherwise those that only wait for
    /// acceptance.
    void answerWaiters(Request &request, const JobAnswer &answer, bool final, EntryActions &out);
    void finishRequest(Request &request, const JobAnswer &answer, TimePoint now, EntryActions &out);
    bool isKnownNotRun(const Request &request) const;
    /// Returns the refusal as NotRun only if no earlier call of the same request may have run,
    /// otherwise as Unknown.
    JobAnswer qualifyRefusal(const Request &request, const JobAnswer &refusal) const;
    JobAnswer currentAnswer(const Request &request) const;
    bool tickRequest(Request &request, const Membership &members, TimePoint now, EntryActions &out);

    Settings settings;
    std::map<std::string, std::uint32_t> waitingLimits; ///< Limit of held calls by customer.
    std::map<std::string, std::size_t> waitingByCustomer; ///< Held calls by customer.
    std::size_t totalWaiting = 0;
    std::map<std::string, Request> requests; ///< Keyed by job key.
    CallMetrics callMetrics;
};

} // namespace Hibiscus
