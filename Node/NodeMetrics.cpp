#include <Node/NodeMetrics.h>

namespace Hibiscus::Node {

using Coordination::CallVerb;
using Coordination::ClientReply;
using Tasks::JobState;

namespace {

/// Limit of time series per metric. Customers and queues come from the operator's configuration,
/// which may hold very many; further label values share one series with empty labels.
constexpr std::size_t maxSeries = 400;

std::string escape(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '"' || c == '\\')
            escaped.push_back('\\');
        escaped.push_back(c == '\n' ? ' ' : c);
    }
    return escaped;
}

void writeAge(std::ostringstream &text, std::string_view name, const std::optional<Duration> &age)
{
    if (age)
        text << name << " " << toSeconds(*age) << "\n";
}

} // namespace

template <class Key, class Value>
Value &NodeMetrics::seriesOf(std::map<Key, Value> &series, const Key &key)
{
    const auto known = series.find(key);
    if (known != series.end())
        return known->second;
    return series.size() < maxSeries ? series[key] : series[Key{}];
}

void NodeMetrics::recordAnswer(CallVerb verb, const ClientReply &reply, Duration took)
{
    const Labels labels{reply.customer, reply.queue, Coordination::nameOf(verb)};
    seriesOf(this->answers, {labels, Coordination::nameOf(reply.kind)})++;
    seriesOf(this->answerTimes, labels).add(took);
}

void NodeMetrics::recordFinishedJob(const Tasks::Job &job, JobState state, Duration age)
{
    seriesOf(this->jobTimes, {job.customer, job.queue, Tasks::nameOf(state)}).add(age);
}

void NodeMetrics::writeHistogram(std::ostringstream &text, std::string_view name,
                                 const std::string &labels, const Histogram &histogram)
{
    std::uint64_t below = 0;
    for (std::size_t i = 0; i + 1 < Histogram::bucketCount && below < histogram.count(); i++) {
        below += histogram.bucket(i);
        text << name << "_bucket{" << labels << ",le=\"" << toSeconds(Histogram::upperBound(i))
             << "\"} " << below << "\n";
    }
    text << name << "_bucket{" << labels << ",le=\"+Inf\"} " << histogram.count() << "\n";
    text << name << "_sum{" << labels << "} " << toSeconds(histogram.sum()) << "\n";
    text << name << "_count{" << labels << "} " << histogram.count() << "\n";
}

std::string NodeMetrics::toPrometheusText(const Readings &readings,
                                          const ProcessEventLogger &logger) const
{
    const auto describeLabels = [](const Labels &labels, const char *kind) {
        return "customer=\"" + escape(labels.customer) + "\",queue=\"" + escape(labels.queue)
            + "\"," + kind + "=\"" + std::string(labels.kind) + "\"";
    };
    std::ostringstream text;
    for (const auto &[event, count] : logger.counts())
        text << "hibiscus_events_total{event=\"" << event << "\"} " << count << "\n";
    text << "hibiscus_log_lines_dropped_total " << logger.droppedLines() << "\n";
    text << "hibiscus_caller_connections " << readings.callerConnections << "\n";
    text << "hibiscus_caller_held_bytes " << readings.callerHeldBytes << "\n";
    for (std::size_t i = 0; i < readings.closedConnections.size(); i++)
        text << "hibiscus_caller_connections_closed_total{reason=\""
             << nameOf(static_cast<Runtime::CloseReason>(i)) << "\"} "
             << readings.closedConnections[i] << "\n";
    text << "hibiscus_store_calls_total " << readings.storeCalls << "\n";
    text << "hibiscus_worker_calls_total " << readings.workerCalls << "\n";
    text << "hibiscus_worker_connections_total " << readings.workerConnections << "\n";
    text << "hibiscus_placement_calls_total " << readings.placementCalls << "\n";
    text << "hibiscus_leading " << (readings.isLeading ? 1 : 0) << "\n";
    text << "hibiscus_jobs " << readings.jobs << "\n";
    text << "hibiscus_tombstones " << readings.tombstones << "\n";
    text << "hibiscus_workers " << readings.workers << "\n";
    text << "hibiscus_configuration_version " << readings.configurationVersion << "\n";
    writeAge(text, "hibiscus_configuration_age_seconds", readings.configurationAge);
    writeAge(text, "hibiscus_forecast_age_seconds", readings.forecastAge);
    writeAge(text, "hibiscus_oldest_worker_answer_seconds", readings.oldestWorkerAnswerAge);
    for (const auto &[service, spread] : readings.speeds) {
        const std::string labels = "{service=\"" + escape(service) + "\"} ";
        text << "hibiscus_known_worker_speeds" << labels << spread.known << "\n";
        text << "hibiscus_workers_differ_in_speed" << labels << (spread.differs ? 1 : 0) << "\n";
        text << "hibiscus_fast_worker_slowness" << labels << spread.fastest << "\n";
        text << "hibiscus_slow_worker_slowness" << labels << spread.slowest << "\n";
    }
    for (const auto &[key, count] : this->answers)
        text << "hibiscus_answers_total{" << describeLabels(key.labels, "call") << ",outcome=\""
             << key.outcome << "\"} " << count << "\n";
    for (const auto &[labels, histogram] : this->answerTimes)
        writeHistogram(text, "hibiscus_answer_seconds", describeLabels(labels, "call"), histogram);
    for (const auto &[labels, histogram] : this->jobTimes)
        writeHistogram(text, "hibiscus_job_seconds", describeLabels(labels, "end"), histogram);
    return text.str();
}

} // namespace Hibiscus::Node
