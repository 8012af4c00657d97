#include <Ledger/JobKeeper.h>
#include <Ledger/ShardKeeper.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <deque>

namespace Hibiscus {

struct JobKeeper::Data
{
    explicit Data(const JobKeeperSettings &settings)
        : settings(settings)
    {
        for (std::uint32_t shard = 0; shard < settings.shards; ++shard)
            this->shards.emplace_back(settings, shard, this->dispatchers);
    }

    ShardKeeper &shardOf(std::string_view key)
    {
        return this->shards[JobKeeper::shardOf(key, this->settings.shards)];
    }

    JobKeeperSettings settings;
    Dispatchers dispatchers;
    std::deque<ShardKeeper> shards;
};

JobKeeper::JobKeeper(const JobKeeperSettings &settings)
    : data(std::make_unique<Data>(settings))
{}

JobKeeper::~JobKeeper() = default;
JobKeeper::JobKeeper(JobKeeper &&) noexcept = default;
JobKeeper &JobKeeper::operator=(JobKeeper &&) noexcept = default;

std::uint32_t JobKeeper::shardOf(std::string_view key, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) % shards);
}

void JobKeeper::setOwnedShards(std::span<const std::uint32_t> shards, TimePoint now,
                               KeeperActions &out)
{
    for (std::uint32_t shard = 0; shard < this->data->settings.shards; ++shard) {
        const bool wanted = std::find(shards.begin(), shards.end(), shard) != shards.end();
        this->data->shards[shard].setWanted(wanted, now, out);
    }
}

void JobKeeper::setDispatcher(const std::string &dataCenter, const std::string &instance,
                              std::uint64_t incarnation, TimePoint now, KeeperActions &out)
{
    const DispatcherId dispatcher{.instance = instance, .incarnation = incarnation};
    DispatcherId &present = this->data->dispatchers[dataCenter];
    if (present == dispatcher)
        return;
    present = dispatcher;
    for (ShardKeeper &shard : this->data->shards)
        shard.dispatcherChanged(dataCenter, now, out);
}

void JobKeeper::submit(const std::string &from, const SubmitJob &message,
                       const std::string &dataCenter, TimePoint now, KeeperActions &out)
{
    const std::string key = jobKey(message.spec.customer, message.spec.requestId);
    const KeeperRequest request{.from = from, .message = message, .dataCenter = dataCenter};
    this->data->shardOf(key).handle(request, now, out);
}

void JobKeeper::cancel(const std::string &from, const CancelJob &message, TimePoint now,
                       KeeperActions &out)
{
    this->data->shardOf(message.key).handle({.from = from, .message = message}, now, out);
}

void JobKeeper::query(const std::string &from, const QueryJob &message, TimePoint now,
                      KeeperActions &out)
{
    this->data->shardOf(message.key).handle({.from = from, .message = message}, now, out);
}

void JobKeeper::assign(const std::string &from, const AssignJob &message, TimePoint now,
                       KeeperActions &out)
{
    this->data->shardOf(message.key).handle({.from = from, .message = message}, now, out);
}

void JobKeeper::update(const std::string &from, const JobUpdate &message, TimePoint now,
                       KeeperActions &out)
{
    this->data->shardOf(message.key).handle({.from = from, .message = message}, now, out);
}

void JobKeeper::storeReply(CallId call, const StoreReply &reply, TimePoint now, KeeperActions &out)
{
    // Call ids of a shard are congruent to its number modulo the number of shards.
    const std::uint64_t shard = call.value % this->data->settings.shards;
    this->data->shards[shard].storeReply(call, reply, now, out);
}

void JobKeeper::tick(TimePoint now, KeeperActions &out)
{
    for (ShardKeeper &shard : this->data->shards)
        shard.tick(now, out);
}

TimePoint JobKeeper::nextWakeup() const
{
    TimePoint next = TimePoint::max();
    for (const ShardKeeper &shard : this->data->shards)
        next = std::min(next, shard.nextWakeup());
    return next;
}

bool JobKeeper::owns(std::uint32_t shard) const
{
    return shard < this->data->shards.size() && this->data->shards[shard].isOwned();
}

JobKeeper::Gauges JobKeeper::gauges() const
{
    Gauges gauges;
    for (const ShardKeeper &shard : this->data->shards)
        shard.addTo(gauges);
    return gauges;
}

} // namespace Hibiscus
