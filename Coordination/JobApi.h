#pragma once

#include <Coordination/AnswerTimeout.h>
#include <Coordination/EventLogger.h>
#include <Coordination/PrefixWatch.h>
#include <Coordination/TombstoneBudget.h>
#include <Tasks/JobTombstone.h>
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
    CountPending, ///< Number of jobs of a queue that have not started.
};

/// A request of a client, independent of the wire format.
struct ClientCall
{
    CallVerb verb = CallVerb::Status;
    std::string host;
    std::string path;
    std::string key; ///< API key of the customer; empty if the request has none.
    std::string body;
    TimePoint deadline{}; ///< The client stops waiting for a reply at this time.
};

enum class ReplyKind : std::uint8_t {
    Accepted, ///< The job is stored and will run.
    State,
    Cancelled,
    Pending,
    NoSuchQueue,
    NoSuchJob, ///< As the answer to a cancellation: and the job will not run later.
    UnknownKey,
    ForeignJob, ///< The job belongs to another customer than the API key.
    Malformed,
    NotRun, ///< The job was refused: it is not running and never will.
    Unavailable, ///< The request could not be served and had no effect.
    Undecided, ///< The request may take effect later; the client should retry it.
};

struct ClientReply
{
    ReplyKind kind = ReplyKind::Unavailable;
    Tasks::JobState state = Tasks::JobState::Queued;
    std::int64_t pending = 0;
    Duration retryAfter{}; ///< Set with NotRun and Unavailable.
    std::string error; ///< Human-readable reason.
    std::string customer; ///< Customer of the API key; empty if unknown.
    std::string queue;
};

/// Name of the value in logs and metrics.
std::string_view nameOf(ReplyKind kind);
std::string_view nameOf(CallVerb verb);

using ReplyHandler = std::function<void(const ClientReply &)>;

/// Serves client requests: accepts a job with one conditional write to the store and reads job
/// states from the store. Works on every instance and needs no elected leader.
class JobApi
{
public:
    struct Settings
    {
        std::string configurationKey;
        /// Longest time for which a revoked API key may still be served.
        Duration revocationBound = seconds(5);
        Duration storeTimeout = milliseconds(700);
        AnswerTimeout::Settings submitTimeout; ///< For the write that accepts or refuses a job.
        /// Part of the client's deadline that is reserved for sending the reply.
        Duration answerReserve = milliseconds(40);
        Duration retryDelay = milliseconds(60);
        /// How long a pending count that was read from the store may be reused.
        Duration pendingCountsValidity = milliseconds(400);
        /// How long one watch call for forecasts waits. Forecasts are only hints, so a dead
        /// connection may go unnoticed for longer than with the configuration.
        Duration forecastWatchWait = seconds(5);
        /// An older forecast is not used to refuse jobs.
        Duration forecastValidity = seconds(15);
        Duration retryAfter = seconds(1);
        /// Used for clients that send no deadline.
        Duration defaultClientTimeout = seconds(3);
        TombstoneBudget::Settings tombstones;
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

    /// Whether this instance can serve requests: it has a configuration, and the store has
    /// confirmed it recently.
    bool isReady(TimePoint now) const;
    const Tasks::ConfigurationIndex *directory() const { return this->currentDirectory.get(); }
    /// Time since the store last confirmed that the configuration is the newest; empty if it never
    /// did.
    std::optional<Duration> configurationAge(TimePoint now) const;
    /// Time since the wait forecast that admission control uses was read; empty if none was read.
    std::optional<Duration> forecastAge(TimePoint now) const;
    /// Called after each change of the configuration.
    std::function<void(const Tasks::SystemConfiguration &)> configurationChanged;

private:
    struct Submission;

    /// A request that needs only the stored state: status, cancellation or pending count.
    struct Lookup
    {
        ClientCall call;
        ReplyHandler reply;
        std::string job;
        std::string queue;
        /// Customer that owns the request; empty if the queue needs no API key.
        std::string customer;
        TimePoint receivedAt{};
        int failures = 0;
        /// Of a cancellation: the revision of the job's key, 0 if it is absent.
        std::int64_t keyRevision = 0;
        /// Of a cancellation: the tombstone under the job's key, or the one to be written there.
        Tasks::JobTombstone tombstone;
        bool hasTombstoneBudget = false;
        bool hasUnansweredWrite = false; ///< The store may execute a write of this request later.
    };
    using LookupStep = void (JobApi::*)(const std::shared_ptr<Lookup> &, TimePoint);

    void updateForecast(const Tasks::StoredItem &item, TimePoint now);
    void checkAdmission(Submission &submission, TimePoint now);
    /// The reply to the client once the submission's record is stored.
    ClientReply storedReply(const Submission &submission) const;
    /// The reply for a job that was refused for load.
    ClientReply refusedReply(const Submission &submission) const;
    void updateConfiguration(const Tasks::StoredItem &item, TimePoint now);
    bool isConfigurationFresh(TimePoint now) const;
    std::int64_t configurationAgeMs(TimePoint now) const;
    /// Wraps the reply handler so that rejected requests are logged.
    ReplyHandler logRejections(const ClientCall &call, ReplyHandler reply, TimePoint now);
    void confirmConfiguration(ClientCall call, ReplyHandler reply, TimePoint now);
    void route(const ClientCall &call, const ReplyHandler &caller, TimePoint now);

    /// `customer` is that of the call's API key; null if it has none.
    void startSubmission(const ClientCall &call, const ReplyHandler &reply,
                         const Tasks::ConfigurationIndex::Match &match,
                         const Tasks::Customer *customer, TimePoint now);
    void submit(const std::shared_ptr<Submission> &submission, TimePoint now);
    void handleSubmitAnswer(const std::shared_ptr<Submission> &submission,
                            const Tasks::StoreAnswer &answer, TimePoint now);
    void handleSubmitConflict(const std::shared_ptr<Submission> &submission,
                              const Tasks::StoreAnswer &answer, TimePoint now);
    void submitOverTombstone(const std::shared_ptr<Submission> &submission,
                             const Tasks::JobTombstone &tombstone, std::int64_t revision,
                             TimePoint now);
    void retrySubmit(const std::shared_ptr<Submission> &submission, TimePoint now);
    void finishSubmit(const std::shared_ptr<Submission> &submission, const ClientReply &reply,
                      TimePoint now);

    void readState(const std::shared_ptr<Lookup> &lookup, TimePoint now);
    void readJob(const std::shared_ptr<Lookup> &lookup, TimePoint now);
    void cancel(const std::shared_ptr<Lookup> &lookup, TimePoint now);
    void cancelStored(const std::shared_ptr<Lookup> &lookup, const Tasks::StoredItem *stored,
                      TimePoint now);
    void cancelUnknownJob(const std::shared_ptr<Lookup> &lookup, TimePoint now);
    bool takeTombstoneBudget(Lookup &lookup, TimePoint now);
    void writeTombstone(const std::shared_ptr<Lookup> &lookup, TimePoint now);
    void writeCancellation(const std::shared_ptr<Lookup> &lookup, TimePoint now);
    void commitCancellation(const std::shared_ptr<Lookup> &lookup, const Tasks::StoreCommit &commit,
                            LookupStep step, ReplyKind stored, TimePoint now);
    void countPending(const std::shared_ptr<Lookup> &lookup, TimePoint now);
    void retryLookup(const std::shared_ptr<Lookup> &lookup, LookupStep step, TimePoint now);
    Duration timeLeft(TimePoint deadline, TimePoint now) const;
    /// Timeout of the next store call on behalf of a request.
    Duration storeTime(TimePoint deadline, TimePoint now) const;
    ClientReply unavailable(const char *error) const;

    Tasks::MetadataStore &store;
    TimerService &timers;
    const WallClock &wallClock;
    EventLogger &logger;
    Settings settings;
    Decoders decoders;
    AnswerTimeout submitTimeout;
    TombstoneBudget tombstoneBudget;
    PrefixWatch watch;
    PrefixWatch forecastWatch;
    /// By queue; a queue without an entry has a short wait.
    std::map<std::string, Tasks::QueueForecast, std::less<>> forecasts;
    TimePoint forecastReadAt{};
    std::shared_ptr<const Tasks::ConfigurationIndex> currentDirectory;
    std::string pendingCounts; ///< JSON object that maps queue names to counts.
    TimePoint pendingReadAt{};
    bool pendingKnown = false;
};

} // namespace Hibiscus::Coordination
