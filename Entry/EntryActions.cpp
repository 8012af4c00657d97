#include <Entry/EntryActions.h>

namespace Hibiscus {

void EntryActions::log(LogLevel level, const char *component, std::string text, std::string key)
{
    this->logs.push_back({level, component, std::move(text), std::move(key)});
}

} // namespace Hibiscus
