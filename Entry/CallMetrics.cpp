#include <Entry/CallMetrics.h>

namespace Hibiscus {

namespace {

constexpr const char *completionName = "hibiscus_completion_seconds";
constexpr const char *requestsName = "hibiscus_requests_total";

std::string secondsText(Duration duration)
{
    return std::to_string(std::chrono::duration<double>(duration).count());
}

void addBuckets(std::string &text, const std::string &labels, const Histogram &histogram)
{
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < Histogram::bucketCount; ++i) {
        below += histogram.bucket(i);
        const bool last = i + 1 == Histogram::bucketCount;
        const std::string bound = last ? "+Inf" : secondsText(Histogram::upperBound(i));
        text.append(completionName).append("_bucket{").append(labels).append(",le=\"");
        text.append(bound).append("\"} ").append(std::to_string(below)).append("\n");
    }
    text += std::string(completionName) + "_sum{" + labels + "} " + secondsText(histogram.sum())
        + '\n';
    text += std::string(completionName) + "_count{" + labels + "} "
        + std::to_string(histogram.count()) + '\n';
}

} // namespace

void CallMetrics::recordEnd(const std::string &customer, UrgencyClass urgency, JobStatus status,
                            Duration elapsed)
{
    Series &entry = this->series[{customer, urgency}];
    ++entry.endCounts[static_cast<std::size_t>(status)];
    if (status == JobStatus::Done)
        entry.completion.add(elapsed);
}

std::string CallMetrics::toText() const
{
    std::string text = std::string("# TYPE ") + completionName + " histogram\n";
    std::string ends = std::string("# TYPE ") + requestsName + " counter\n";
    for (const auto &[name, entry] : this->series) {
        const std::string labels
            = "customer=\"" + name.first + "\",class=\"" + toString(name.second) + '"';
        addBuckets(text, labels, entry.completion);
        for (std::size_t i = 0; i < jobStatusCount; ++i) {
            const char *status = toString(static_cast<JobStatus>(i));
            ends += std::string(requestsName) + '{' + labels + ",end=\"" + status + "\"} "
                + std::to_string(entry.endCounts[i]) + '\n';
        }
    }
    return text + ends;
}

} // namespace Hibiscus
