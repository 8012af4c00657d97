#pragma once

#include <Tasks/StartPlanner.h>

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

namespace Hibiscus::Tasks::Test {

/// Base of the tests that plan requests for workers of one service, `blend`, at one moment.
class PlannerFixture : public testing::Test
{
protected:
    static constexpr UnixMs now = 1'700'000'000'000;

    /// Adds an empty, usable worker in the rack.
    WorkerView &addWorker(const std::string &rack, Resources room)
    {
        this->ids.push_back("worker-" + std::to_string(this->views.size()));
        this->labels.push_back({"kind-a", rack});
        WorkerView view;
        view.id = this->ids.back();
        view.service = "blend";
        view.labels = this->labels.back();
        view.free = room;
        view.usable = true;
        return this->views.emplace_back(view);
    }

    OccupantView &addOccupant(std::size_t worker, Resources need, std::int32_t priority,
                              UnixMs endsIn, double loss)
    {
        this->views[worker].free -= need;
        return this->views[worker].occupants.emplace_back(
            OccupantView{need, priority, now + endsIn, loss});
    }

    /// Adds a request for identical tasks that has been ready for 100 ms and can end in time.
    StartRequest &addRequest(std::int32_t priority, std::int32_t tasks, std::int64_t accelerators)
    {
        Step step;
        step.count = tasks;
        step.need = {1000 * accelerators, 1000, accelerators};
        step.estimate = seconds(2);
        this->steps.push_back(step);
        StartRequest request;
        request.job = "job";
        request.step = &this->steps.back();
        request.service = "blend";
        request.runTime = seconds(2);
        request.priority = priority;
        request.readySince = now - 100;
        request.objectiveAt = now + 10'000;
        request.usefulUntil = now + 30'000;
        request.indexes.resize(static_cast<std::size_t>(tasks));
        std::iota(request.indexes.begin(), request.indexes.end(), 0);
        return this->requests.emplace_back(std::move(request));
    }

    StartPlan plan() const
    {
        return StartPlanner(StartPlanner::Settings{}).plan(this->requests, this->views, now);
    }

    static std::size_t startsOf(const StartPlan &plan, std::size_t request)
    {
        return static_cast<std::size_t>(std::count_if(
            plan.starts.begin(), plan.starts.end(),
            [request](const StartChoice &start) { return start.request == request; }));
    }

    std::deque<std::string> ids;
    std::deque<std::vector<std::string>> labels;
    std::deque<Step> steps;
    std::vector<WorkerView> views;
    std::vector<StartRequest> requests;
};

} // namespace Hibiscus::Tasks::Test
