#include "mangodeck/version/store.h"

#include <algorithm>

namespace mangodeck {

void Store::last(std::string_view Prefix, std::int64_t Limit,
                 Callback<std::vector<StoreEntry>> Done) {
  const auto Count = static_cast<std::size_t>(std::max<std::int64_t>(Limit, 0));
  range(Prefix, Prefix, 0,
        [Count,
         Done = std::move(Done)](Expected<std::vector<StoreEntry>> Entries) {
          if (Entries) {
            std::reverse(Entries->begin(), Entries->end());
            Entries->resize(std::min(Entries->size(), Count));
          }
          Done(std::move(Entries));
        });
}

void Store::lastKey(std::string_view Prefix,
                    Callback<std::vector<StoreEntry>> Done) {
  last(Prefix, 1,
       [Done = std::move(Done)](Expected<std::vector<StoreEntry>> Entries) {
         if (Entries)
           for (auto &Entry : *Entries)
             Entry.Value.clear();
         Done(std::move(Entries));
       });
}

} // namespace mangodeck
