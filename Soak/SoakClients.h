#pragma once

#include <Runtime/HttpClient.h>
#include <Soak/SoakSite.h>

#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace Hibiscus::Soak {

/// Clients that submit jobs, poll their states and cancel some of them over persistent connections.
/// Records the replies and the guarantees that they violate.
class SoakClients
{
public:
    struct Settings
    {
        Duration timeout = seconds(3); ///< Timeout of one request.
        Duration submitInterval = milliseconds(120); ///< Time between two new jobs.
        Duration statePoll = milliseconds(600);
        /// Attempts to submit a job while the outcome is unknown.
        std::size_t maxAttempts = 6;
        std::size_t cancelOneOf = 12;
        /// One of so many submissions without an answer is given up instead of sent again.
        std::size_t giveUpOneOf = 3;
        /// Maximum number of unfinished jobs; no new jobs are submitted beyond.
        std::size_t maxUnfinishedJobs = 40;
        /// A third of the jobs are very short, a sixth are long.
        bool variedRunTimes = false;
    };

    SoakClients(boost::asio::io_context &loop, SoakSite &site, std::uint64_t seed,
                const Settings &settings);

    /// Starts submitting jobs.
    void start();
    /// Stops submitting jobs; states are still polled.
    void stopSubmitting() { this->submissionsStopped = true; }
    /// Uses the API key from now on; the former one counts as revoked at `now`.
    void switchKey(const std::string &key, TimePoint now);

    /// Whether all submissions are answered and all accepted jobs have reached a final state.
    bool allFinished() const;
    /// Runs the checks that are possible only after the last request.
    void checkFinalStates();
    std::string summary() const;

    std::vector<std::string> violations;

private:
    enum class Outcome : std::uint8_t {
        Pending, ///< No conclusive answer yet.
        Accepted,
        Refused, ///< Refused as "not run".
        Unknown, ///< Abandoned without a conclusive answer, and cancelled.
        NeverAccepted, ///< As `Unknown`, and the cancellation was answered "no such job".
    };
    struct ClientJob
    {
        std::string id;
        std::string path;
        std::string body;
        std::string key;
        std::int32_t tasks = 1;
        bool fails = false;
        Outcome outcome = Outcome::Pending;
        std::size_t attempts = 0;
        bool hasUnansweredAttempt = false;
        bool cancelSent = false;
        bool cancelled = false;
        std::string state;
    };

    void submitNext();
    void submit(ClientJob &job);
    void handleSubmitReply(ClientJob &job, const Runtime::HttpResult &result, TimePoint sentAt);
    void pollState(ClientJob &job);
    void handleStateReply(ClientJob &job, const Runtime::HttpResult &result);
    /// Cancels a job whose submission got no conclusive answer, until that is answered.
    void giveUp(ClientJob &job);
    void cancel(ClientJob &job);
    void handleCancelReply(ClientJob &job, const Runtime::HttpResult &result);
    Runtime::HttpClient &drawInstance();
    Runtime::HttpCall makeCall(const ClientJob &job, boost::beast::http::verb verb) const;
    void schedule(Duration delay, std::function<void()> step);
    static bool isFinal(const std::string &state);

    boost::asio::io_context &loop;
    SoakSite &site;
    Settings settings;
    pcg32 random;
    std::vector<std::unique_ptr<Runtime::HttpClient>> instances;
    std::map<std::string, std::unique_ptr<ClientJob>> jobs;
    std::string key;
    /// Revoked API keys with the times of their revocation.
    std::map<std::string, TimePoint> revoked;
    std::size_t number = 0;
    bool submissionsStopped = false;
};

} // namespace Hibiscus::Soak
