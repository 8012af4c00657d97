#pragma once

#include <Coordination/JobApi.h>
#include <Core/Histogram.h>
#include <Node/ProcessEventLogger.h>
#include <Runtime/HttpServer.h>
#include <Tasks/WorkerSpeeds.h>

#include <map>
#include <sstream>
#include <string>
#include <string_view>

namespace Hibiscus::Node {

/// Metrics of one instance, labelled by customer and queue where these are known, in the Prometheus
/// text format.
class NodeMetrics
{
public:
    /// Records the reply to a client request and the time until that reply.
    void recordAnswer(Coordination::CallVerb verb, const Coordination::ClientReply &reply,
                      Duration took);
    /// Records a job that reached a final state under this leader; `age` is the time since its
    /// acceptance.
    void recordFinishedJob(const Tasks::Job &job, Tasks::JobState state, Duration age);

    /// Values that are sampled when the metrics are read.
    struct Readings
    {
        bool isLeading = false;
        std::size_t jobs = 0;
        std::size_t tombstones = 0; ///< Of jobs that do not exist; see Tasks::JobTombstone.
        std::size_t workers = 0;
        std::size_t callerConnections = 0;
        std::uint64_t callerHeldBytes = 0; ///< Of requests and responses that are not finished.
        Runtime::HttpServer::CloseCounts closedConnections{};
        std::uint64_t storeCalls = 0;
        std::uint64_t workerCalls = 0;
        std::uint64_t workerConnections = 0;
        std::uint64_t placementCalls = 0;
        std::int64_t configurationVersion = 0;
        std::optional<Duration> configurationAge; ///< Time since the last confirmation.
        std::optional<Duration> forecastAge;
        std::optional<Duration> oldestWorkerAnswerAge; ///< Among the workers with runs.
        /// Speeds of the leader's workers, by service.
        std::map<std::string, Tasks::WorkerSpeeds::Spread, std::less<>> speeds;
    };
    std::string toPrometheusText(const Readings &readings, const ProcessEventLogger &logger) const;

private:
    struct Labels
    {
        std::string customer;
        std::string queue;
        std::string_view kind; ///< Kind of the request, or final state of the job.
        auto operator<=>(const Labels &) const = default; // NOLINT(modernize-use-nullptr)
    };
    struct AnswerLabels
    {
        Labels labels;
        std::string_view outcome;
        auto operator<=>(const AnswerLabels &) const = default; // NOLINT(modernize-use-nullptr)
    };

    template <class Key, class Value>
    static Value &seriesOf(std::map<Key, Value> &series, const Key &key);
    static void writeHistogram(std::ostringstream &text, std::string_view name,
                               const std::string &labels, const Histogram &histogram);

    std::map<AnswerLabels, std::uint64_t> answers;
    std::map<Labels, Histogram> answerTimes;
    std::map<Labels, Histogram> jobTimes;
};

} // namespace Hibiscus::Node
