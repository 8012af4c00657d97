#pragma once

#include <Coordination/TimerService.h>
#include <Tasks/MetadataStore.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Hibiscus::Coordination {

/// Reads the progress records of all jobs at takeover, page by page.
class ProgressReader
{
public:
    struct Settings
    {
        Duration listTimeout = milliseconds(1500);
        Duration retryDelay = milliseconds(150);
    };

    struct Record
    {
        std::string value;
        std::int64_t revision = 0;
    };
    using RecordTable = std::map<std::string, Record>;

    /// Called after each page.
    using PageHandler = std::function<void(TimePoint now)>;

    ProgressReader(Tasks::MetadataStore &store, TimerService &timers, const Settings &settings,
                   PageHandler pageRead);

    /// Discards all records and starts to read them.
    void start();
    /// Ignores the answers to all calls made so far.
    void stop() { this->generation++; }
    bool isComplete() const { return this->complete; }

    /// Records that were read, by job id.
    const RecordTable &records() const { return this->recordsByJob; }
    void discardRecords() { this->recordsByJob.clear(); }

private:
    void list(const std::string &after);
    void handlePage(const Tasks::StoreAnswer &answer);

    Tasks::MetadataStore &store;
    TimerService &timers;
    Settings settings;
    PageHandler pageRead;
    std::uint64_t generation = 0; ///< Answers and timers of earlier generations are ignored.
    bool complete = false;
    RecordTable recordsByJob;
};

} // namespace Hibiscus::Coordination
