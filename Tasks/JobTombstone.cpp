#include <Core/JsonText.h>
#include <Tasks/JobTombstone.h>

#include <algorithm>

namespace Hibiscus::Tasks {

namespace {

using nlohmann::json;

constexpr std::int64_t recordVersion = 1;
/// Text of a refusal without cancellations.
constexpr std::string_view refusalText = R"({"record":1,"refused":true})";
/// Begin of a tombstone with cancellations. The keys of a record are in alphabetical order, and no
/// job has this one.
constexpr std::string_view cancelledBegin = R"({"cancelled":)";
/// Job ids are random, so more customers with the same one are no accident.
constexpr std::size_t maxCancellations = 4;

std::optional<JobTombstone> decodeCancelled(const json &record)
{
    if (!record.is_object() || !record["cancelled"].is_array())
        return std::nullopt;
    JobTombstone tombstone;
    tombstone.isRefused = record.contains("refused");
    for (const json &row : record["cancelled"]) {
        const bool isClaim
            = row.is_array() && row.size() == 2 && row[0].is_string() && row[1].is_string();
        if (!isClaim)
            return std::nullopt;
        tombstone.cancellations.push_back({row[0].get<std::string>(), row[1].get<std::string>()});
    }
    return tombstone;
}

} // namespace

/// A queue that needs no key takes calls without one for every job, so a cancellation without a
/// customer covers all claims of its queue.
bool JobTombstone::isCancelledFor(const JobClaim &claim) const
{
    return std::any_of(this->cancellations.begin(), this->cancellations.end(),
                       [&claim](const JobClaim &cancelled) {
                           const bool isOfCustomer
                               = cancelled.customer.empty() || cancelled.customer == claim.customer;
                           return cancelled.queue == claim.queue && isOfCustomer;
                       });
}

bool JobTombstone::addCancellation(const JobClaim &claim)
{
    if (this->cancellations.size() >= maxCancellations)
        return false;
    this->cancellations.push_back(claim);
    return true;
}

std::string encodeTombstone(const JobTombstone &tombstone)
{
    if (tombstone.cancellations.empty())
        return std::string(refusalText);
    json cancelled = json::array();
    for (const JobClaim &claim : tombstone.cancellations)
        cancelled.push_back({claim.queue, claim.customer});
    json record = {{"record", recordVersion}, {"cancelled", std::move(cancelled)}};
    if (tombstone.isRefused)
        record["refused"] = true;
    return record.dump();
}

std::optional<JobTombstone> decodeTombstone(std::string_view text)
{
    if (text == refusalText)
        return JobTombstone{.isRefused = true};
    if (!text.starts_with(cancelledBegin))
        return std::nullopt;
    return decodeCancelled(parseJson(text));
}

} // namespace Hibiscus::Tasks
