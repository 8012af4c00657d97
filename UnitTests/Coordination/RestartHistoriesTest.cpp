#include "Cluster.h"

#include <gtest/gtest.h>
#include <pcg_random.hpp>

namespace Hibiscus::Coordination::Test {

namespace {

constexpr std::uint32_t workerCount = 8;

/// A random history of silent restarts under the old ids, late entries, cuts, late polls, lost
/// answers, commits that are dropped, cancellations and changes of leader. Start orders are
/// executed at once or never, so that the late ones of issue 17 take no part.
class RestartHistory
{
public:
    explicit RestartHistory(std::uint64_t seed)
        : random(seed)
        , cluster(2, workerCount)
    {
        this->cluster.workers.waitingPollsAcknowledge = true;
        // Late cancellations are not the subject.
        this->cluster.workers.cancellationBound = seconds(1000);
    }

    /// Plays the history and returns what it broke.
    Violations play();

private:
    using Step = void (RestartHistory::*)();
    static const Step steps[];

    Duration draw(std::uint32_t minMs, std::uint32_t maxMs)
    {
        return milliseconds(minMs + this->random(maxMs - minMs));
    }
    std::string drawWorker() { return "worker-" + std::to_string(this->random(workerCount)); }
    void after(Duration delay, std::function<void()> step)
    {
        this->cluster.clock.in(delay, std::move(step));
    }
    void setCut(const std::string &id, bool isCut);
    void publish(const std::string &id);
    void endFaults();
    void checkJobs(Violations &broken);

    void restartWorker();
    void cutWorker();
    void delayPolls();
    void slowPolls();
    void loseAnswers();
    void dropCommits();
    void killLeader();
    void unlistWorker();
    void cancelJob();
    void submitJob();

    pcg32 random;
    Cluster cluster;
    std::set<std::string> cut;
    /// Jobs that need not be completed.
    std::set<std::uint32_t> excused;
    std::uint32_t submitted = 0;
};

const RestartHistory::Step RestartHistory::steps[] = {
    &RestartHistory::restartWorker, &RestartHistory::restartWorker, &RestartHistory::restartWorker,
    &RestartHistory::cutWorker,     &RestartHistory::delayPolls,    &RestartHistory::delayPolls,
    &RestartHistory::delayPolls,    &RestartHistory::slowPolls,     &RestartHistory::loseAnswers,
    &RestartHistory::dropCommits,   &RestartHistory::killLeader,    &RestartHistory::unlistWorker,
    &RestartHistory::cancelJob,
};

void RestartHistory::setCut(const std::string &id, bool isCut)
{
    for (const auto &[name, instance] : this->cluster.instances) {
        if (isCut)
            this->cluster.workers.unreachableWorkers[name].insert(id);
        else
            this->cluster.workers.unreachableWorkers[name].erase(id);
    }
    if (isCut)
        this->cut.insert(id);
    else
        this->cut.erase(id);
}

void RestartHistory::publish(const std::string &id)
{
    if (!this->cut.contains(id))
        this->cluster.putWorker(this->cluster.workers.entryOf(id));
}

/// The worker's clock was set back before one of six restarts.
void RestartHistory::restartWorker()
{
    const std::string id = this->drawWorker();
    this->cluster.workers.restart(id, 8, this->random(6) == 0 ? -300 : 1000);
    this->after(this->draw(50, 6000), [this, id] { this->publish(id); });
    if (this->random(2) == 0)
        return;
    this->after(this->draw(1, 800), [this, id] { this->setCut(id, true); });
    this->after(this->draw(1000, 9000), [this, id] {
        this->setCut(id, false);
        this->publish(id);
    });
}

void RestartHistory::cutWorker()
{
    const std::string id = this->drawWorker();
    this->setCut(id, true);
    this->after(this->draw(100, 9000), [this, id] {
        this->setCut(id, false);
        this->publish(id);
    });
}

void RestartHistory::delayPolls()
{
    FakeWorkers &workers = this->cluster.workers;
    if (!workers.delayedWorkers.empty())
        return;
    const std::string id = this->drawWorker();
    workers.orderDelay = this->draw(200, 12000);
    workers.delayedPolls.insert(id);
    this->after(this->draw(50, 900), [&workers, id] { workers.delayedPolls.erase(id); });
}

void RestartHistory::slowPolls()
{
    const std::string id = this->drawWorker();
    this->cluster.workers.pollDelays[id] = this->draw(1, 450);
    this->after(this->draw(50, 1500), [this, id] { this->cluster.workers.pollDelays.erase(id); });
}

/// Orders are executed at once and not answered.
void RestartHistory::loseAnswers()
{
    FakeWorkers &workers = this->cluster.workers;
    if (!workers.delayedPolls.empty())
        return;
    const std::string id = this->drawWorker();
    workers.orderDelay = milliseconds(2);
    workers.delayedWorkers.insert(id);
    this->after(this->draw(20, 900), [&workers, id] { workers.delayedWorkers.erase(id); });
}

void RestartHistory::dropCommits()
{
    this->cluster.store.behaviors[this->cluster.leader()] = StoreBehavior::DropsCommits;
    this->after(this->draw(100, 2500), [this] { this->cluster.store.behaviors.clear(); });
}

void RestartHistory::killLeader()
{
    const std::string leader = this->cluster.leader();
    if (leader.empty() || this->cluster.instances.size() < 2 || this->random(3) != 0)
        return;
    this->cluster.killInstance(leader);
    this->after(milliseconds(1500), [this, leader] {
        this->cluster.startInstance(leader);
        this->cluster.workers.unreachableWorkers[leader] = this->cut;
    });
}

void RestartHistory::unlistWorker()
{
    const std::string id = this->drawWorker();
    this->cluster.removeWorkerEntry(id);
    this->after(this->draw(100, 4000), [this, id] { this->publish(id); });
}

void RestartHistory::cancelJob()
{
    if (this->submitted == 0)
        return;
    const std::uint32_t number = 1 + this->random(this->submitted);
    this->cluster.cancel(this->cluster.instances.begin()->first, jobId(number));
    this->excused.insert(number);
}

void RestartHistory::submitJob()
{
    const std::uint32_t number = ++this->submitted;
    const std::string payload = std::to_string(50 + this->random(4000));
    const auto tasks = static_cast<std::int32_t>(1 + this->random(6));
    const auto accelerators = static_cast<std::int32_t>(1 + this->random(4));
    const std::optional<ClientReply> reply
        = this->cluster.submit(this->cluster.instances.rbegin()->first, jobId(number),
                               jobBody(payload, tasks, accelerators));
    if (!reply || reply->kind != ReplyKind::Accepted)
        this->excused.insert(number);
}

void RestartHistory::endFaults()
{
    this->cluster.store.behaviors.clear();
    this->cluster.workers.delayedPolls.clear();
    this->cluster.workers.delayedWorkers.clear();
    for (std::uint32_t i = 0; i < workerCount; i++) {
        const std::string id = "worker-" + std::to_string(i);
        this->setCut(id, false);
        this->publish(id);
    }
}

void RestartHistory::checkJobs(Violations &broken)
{
    for (std::uint32_t number = 1; number <= this->submitted; number++) {
        const std::optional<ClientReply> reply
            = this->cluster.state(this->cluster.instances.begin()->first, jobId(number));
        // A completed job is forgotten after some time.
        const bool isOpen = !reply
            || (reply->kind == ReplyKind::State && reply->state != Tasks::JobState::Completed);
        if (isOpen && !this->excused.contains(number))
            broken.push_back(jobId(number) + " is not completed");
    }
}

Violations RestartHistory::play()
{
    this->cluster.run(milliseconds(500));
    const std::uint32_t stepCount = 20 + this->random(60);
    for (std::uint32_t i = 0; i < stepCount; i++) {
        (this->*steps[this->random(std::size(steps))])();
        if (this->random(3) == 0)
            this->submitJob();
        this->cluster.run(this->draw(5, 500));
    }
    // Late calls have been executed by then.
    this->cluster.run(seconds(14));
    this->endFaults();
    this->cluster.run(seconds(100));
    Violations broken = this->cluster.workers.violations;
    this->checkJobs(broken);
    for (std::uint32_t i = 0; i < workerCount; i++) {
        const std::string id = "worker-" + std::to_string(i);
        if (this->cluster.workers.listedEndsOf(id) != 0)
            broken.push_back(id + " keeps ends that were never acknowledged");
    }
    return broken;
}

TEST(RestartHistories, BreakNoPromise)
{
    constexpr std::uint64_t seedCount = 200;
    for (std::uint64_t seed = 1; seed <= seedCount; seed++) {
        for (const std::string &violation : RestartHistory(seed).play())
            ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
}

} // namespace

} // namespace Hibiscus::Coordination::Test
