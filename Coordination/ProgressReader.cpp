#include <Coordination/ProgressReader.h>
#include <Coordination/StoreKeys.h>

#include <string_view>
#include <utility>

namespace Hibiscus::Coordination {

using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::StoreOutcome;

ProgressReader::ProgressReader(Tasks::MetadataStore &store, TimerService &timers,
                               const Settings &settings, PageHandler pageRead)
    : store(store)
    , timers(timers)
    , settings(settings)
    , pageRead(std::move(pageRead))
{}

void ProgressReader::start()
{
    this->generation++;
    this->complete = false;
    this->recordsByJob.clear();
    this->list({});
}

void ProgressReader::list(const std::string &after)
{
    const auto answerHandler
        = [this, after, generation = this->generation](const StoreAnswer &answer, TimePoint now) {
              if (generation != this->generation)
                  return;
              if (answer.outcome == StoreOutcome::Done) {
                  this->handlePage(answer);
                  this->pageRead(now);
                  return;
              }
              this->timers.after(this->settings.retryDelay, [this, after, generation](TimePoint) {
                  if (generation == this->generation)
                      this->list(after);
              });
          };
    this->store.list(StoreKeys::progress, after, this->settings.listTimeout, answerHandler);
}

void ProgressReader::handlePage(const StoreAnswer &answer)
{
    const std::string_view prefix = StoreKeys::progress;
    for (const StoredItem &item : answer.items) {
        if (item.key.starts_with(prefix))
            this->recordsByJob[item.key.substr(prefix.size())] = {item.value, item.revision};
    }
    if (answer.truncated && !answer.items.empty())
        this->list(answer.items.back().key);
    else
        this->complete = true;
}

} // namespace Hibiscus::Coordination
