#include <Tasks/MetadataStore.h>

#include <algorithm>

namespace Hibiscus::Tasks {

const StoredItem *StoreAnswer::find(std::string_view key) const
{
    const auto found
        = std::find_if(this->items.begin(), this->items.end(), [key](const StoredItem &item) {
              return item.key == key && item.revision != 0;
          });
    return found == this->items.end() ? nullptr : &*found;
}

} // namespace Hibiscus::Tasks
