#include <Config/ConfigReader.h>

#include <algorithm>

namespace Hibiscus {

namespace {

constexpr std::int64_t changesPerList = 128;

} // namespace

StoreRequest ConfigReader::request(const ConfigState &state) const
{
    StoreRequest request;
    request.verb = StoreVerb::Get;
    switch (this->step) {
    case Step::ListChanges:
        request.verb = StoreVerb::List;
        request.key = this->keys.change(state.revision() + 1);
        request.end = this->keys.afterFloor();
        request.limit = changesPerList;
        break;
    case Step::ReadFloor:
        request.key = this->keys.floor();
        break;
    case Step::ReadSnapshot:
        request.key = this->keys.snapshot();
        break;
    }
    return request;
}

ConfigReader::Outcome ConfigReader::reply(const StoreReply &reply, ConfigState &state)
{
    this->floor.reset();
    if (reply.status != StoreStatus::Ok)
        return Outcome::Failed;
    switch (this->step) {
    case Step::ListChanges:
        return this->handleChanges(reply, state);
    case Step::ReadFloor:
        this->noteFloor(reply.entries);
        return this->handleFloor(state);
    case Step::ReadSnapshot:
        return this->handleSnapshot(reply, state);
    }
    return Outcome::Failed;
}

ConfigReader::Outcome ConfigReader::handleChanges(const StoreReply &reply, const ConfigState &state)
{
    this->listRevision = reply.storeRevision;
    this->listWasFull = reply.entries.size() >= static_cast<std::size_t>(changesPerList);
    this->listed.clear();
    for (const StoreEntry &entry : reply.entries) {
        const auto revision = this->keys.revisionOf(entry.key);
        if (revision && *revision > state.revision())
            this->listed.push_back(entry);
    }
    this->noteFloor(reply.entries);
    if (this->floorRevision > state.revision()) {
        this->step = Step::ReadSnapshot;
        return Outcome::Continue;
    }
    if (this->listed.empty())
        return this->listWasFull ? Outcome::Continue : Outcome::Done;
    // A change key alone is no proof of a revision: an instance that was paused while keys were
    // removed may have created one of them again. Only a floor that was read after the key and is
    // below it proves that the key was never removed. The floor in the same list is not sufficient,
    // since a List does not guarantee the order in which keys are read.
    this->step = Step::ReadFloor;
    return Outcome::Continue;
}

ConfigReader::Outcome ConfigReader::handleFloor(ConfigState &state)
{
    if (this->floorRevision > state.revision()) {
        this->step = Step::ReadSnapshot;
        return Outcome::Continue;
    }
    return this->applyListed(state);
}

ConfigReader::Outcome ConfigReader::applyListed(ConfigState &state)
{
    for (const StoreEntry &entry : this->listed) {
        if (this->keys.revisionOf(entry.key) == state.revision() + 1 && !state.apply(entry.value))
            return Outcome::Failed;
    }
    const std::uint64_t last = *this->keys.revisionOf(this->listed.back().key);
    this->listed.clear();
    if (last > state.revision())
        return Outcome::Failed; // There is a gap: the list did not show a change in between.
    this->step = Step::ListChanges;
    return this->listWasFull ? Outcome::Continue : Outcome::Done;
}

ConfigReader::Outcome ConfigReader::handleSnapshot(const StoreReply &reply, ConfigState &state)
{
    if (!reply.entries.empty())
        state.adopt(reply.entries.front().value);
    if (state.revision() < this->floorRevision)
        return Outcome::Failed;
    this->step = Step::ListChanges;
    return Outcome::Continue;
}

void ConfigReader::noteFloor(const std::vector<StoreEntry> &entries)
{
    for (const StoreEntry &entry : entries) {
        if (entry.key != this->keys.floor())
            continue;
        this->floor = entry;
        const std::uint64_t revision = revisionFromText(entry.value).value_or(0);
        this->floorRevision = std::max(this->floorRevision, revision);
    }
}

} // namespace Hibiscus
