#pragma once

#include <Coordination/EventLogger.h>
#include <Coordination/PrefixWatch.h>
#include <Tasks/SystemConfiguration.h>
#include <Tasks/TaskJob.h>
#include <Tasks/WaitForecast.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace Hibiscus::Coordination {

enum class CallVerb : std::uint8_t {
    Submit,
    Status,
    Cancel,
    CountPending, ///< Of a queue.
};

/// One call of a client.
struct ClientCall
{
    CallVerb verb = CallVerb::Status;
    std::string host;
    std::string path;
    std::string key; ///< The customer's; empty: none was presented.
    std::string body;
    TimePoint deadline{}; ///< The client waits until then.
};

enum class ReplyKind : std::uint8_t {
    Accepted, ///< Stored; it will run.
    State,
    Cancelled,
    Pending,
    NoSuchQueue,
    NoSuchJob,
    UnknownKey,
    ForeignJob, ///< The key is another customer's.
    Malformed,
    NotRun, ///< Refused; the job does not and will not run.
    Unavailable, ///< Could not be answered; nothing was done.
    Undecided, ///< May have been done; the client should ask again under the same id.
};

struct ClientReply
{
    ReplyKind kind = ReplyKind::Unavailable;
    Tasks::JobState state = Tasks::JobState::Queued;
    std::int64_t pending = 0;
    Duration retryAfter{}; ///< With NotRun and Unavailable.
    std::string error; ///< For people.
    std::string customer; ///< That called; empty: not known.
    std::string queue;
};

/// In a few words, for logs and metrics.
std::string_view nameOf(ReplyKind kind);
std::string_view nameOf(CallVerb verb);

using ReplyHandler = std::function<void(const ClientReply &)>;

/// Serves callers: accepts jobs by one conditional write, reads their state from the store. Any
/// instance can do so, whether or not a leader is there.
class JobApi
{
public:
    struct Settings
    {
        std::string configurationKey;
        Duration revocationBound = seconds(5); ///< A revoked key must not be served after this.
        Duration storeTimeout = milliseconds(700);
        Duration answerReserve = milliseconds(40); ///< Left of a client's time for the answer.
        Duration retryDelay = milliseconds(60);
        Duration pendingCountsValidity = milliseconds(400); ///< Of a queue's count that was read.
        Duration forecastWatchWait
            = seconds(5); ///< Forecasts are advice, so their watch may be slow.
        Duration forecastValidity = seconds(15); ///< An older forecast refuses nothing.
        Duration retryAfter = seconds(1);
        Duration defaultClientTimeout = seconds(3); ///< Of a client that does not tell.
    };

    struct Decoders
    {
        std::function<tl::expected<Tasks::SystemConfiguration, std::string>(std::string_view)>
            configuration;
        std::function<tl::expected<Tasks::Job, std::string>(std::string_view)> submission;
        std::function<bool(std::string_view)> isJobId;
    };

    JobApi(Tasks::MetadataStore &store, TimerService &timers, const WallClock &wallClock,
           EventLogger &logger, const Settings &settings, Decoders decoders);

    void start(TimePoint now);
    void handle(ClientCall call, ReplyHandler reply, TimePoint now);

    /// Whether this instance can serve: it has a configuration and the store answers.
    bool isReady(TimePoint now) const;
    const Tasks::ConfigurationIndex *directory() const { return this->currentDirectory.get(); }
    /// Since the configuration was last confirmed as the newest; absent: it was not.
    std::optional<Duration> configurationAge(TimePoint now) const;
    /// Since the forecast was told by which work is refused; absent: none was.
    std::optional<Duration> forecastAge(TimePoint now) const;
    /// Called after each new configuration.
    std::function<void(const Tasks::SystemConfiguration &)> configurationChanged;

private:
    struct Submission;

    /// A call that reads the store.
    struct Lookup
    {
        ClientCall call;
        ReplyHandler reply;
        std::string job;
        std::string queue;
        std::string customer; ///< Empty: the queue needs no key.
        TimePoint receivedAt{};
        int failures = 0;
    };

    void updateForecast(const Tasks::StoredItem &item, TimePoint now);
    void checkAdmission(Submission &submission, TimePoint now);
    /// What the client is told once the submission's record is stored.
    ClientReply storedReply(const Submission &submission) const;
    void updateConfiguration(const Tasks::StoredItem &item, TimePoint now);
    bool isConfigurationFresh(TimePoint now) const;
    std::int64_t configurationAgeMs(TimePoint now) const;
    /// Tells of calls that are turned away.
    ReplyHandler logRejections(const ClientCall &call, ReplyHandler reply, TimePoint now);
    void confirmConfiguration(ClientCall call, ReplyHandler reply, TimePoint now);
    void route(const ClientCall &call, const ReplyHandler &caller, TimePoint now);

    void submit(const std::shared_ptr<Submission> &submission, TimePoint now);
    void handleSubmitAnswer(const std::shared_ptr<Submission> &submission,
                            const Tasks::StoreAnswer &answer, TimePoint now);
    void handleSubmitConflict(const std::shared_ptr<Submission> &submission,
                              const Tasks::StoreAnswer &answer, TimePoint now);
    void retrySubmit(const std::shared_ptr<Submission> &submission, TimePoint now);
    void finishSubmit(const std::shared_ptr<Submission> &submission, const ClientReply &reply,
                      TimePoint now);

    void readState(const std::shared_ptr<Lookup> &lookup, TimePoint now);
    void readJob(const std::shared_ptr<Lookup> &lookup, TimePoint now);
    void cancel(const std::shared_ptr<Lookup> &lookup, TimePoint now);
    void writeCancellation(const std::shared_ptr<Lookup> &lookup, TimePoint now);
    void countPending(const std::shared_ptr<Lookup> &lookup, TimePoint now);
    void retryLookup(const std::shared_ptr<Lookup> &lookup,
                     void (JobApi::*step)(const std::shared_ptr<Lookup> &, TimePoint),
                     TimePoint now);
    Duration timeLeft(TimePoint deadline, TimePoint now) const;
    /// How long the store may take for a call's next step.
    Duration storeTime(TimePoint deadline, TimePoint now) const;
    ClientReply unavailable(const char *error) const;

    Tasks::MetadataStore &store;
    TimerService &timers;
    const WallClock &wallClock;
    EventLogger &logger;
    Settings settings;
    Decoders decoders;
    PrefixWatch watch;
    PrefixWatch forecastWatch;
    std::map<std::string, Tasks::QueueForecast, std::less<>>
        forecasts; ///< By queue; absent: short.
    TimePoint forecastReadAt{};
    std::shared_ptr<const Tasks::ConfigurationIndex> currentDirectory;
    std::string pendingCounts; ///< JSON object: queue to count.
    TimePoint pendingReadAt{};
    bool pendingKnown = false;
};

} // namespace Hibiscus::Coordination
