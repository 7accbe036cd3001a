// Ranks of the priorities that a service's routes have.
#include "scheduling/serviceclasses.h"

#include <algorithm>

namespace dragonflystall::scheduling {

void ServiceClasses::update(const opaque::Manifest &Manifest,
                            const std::string &Service) {
  if (Manifest.Version == Version_ && Service == Service_)
    return;
  Version_ = Manifest.Version;
  Service_ = Service;
  Priorities_.clear();
  for (const auto &[Address, Route] : Manifest.Routes)
    if (Route.names(Service))
      Priorities_.push_back(Route.Priority);
  std::sort(Priorities_.begin(), Priorities_.end());
  Priorities_.erase(std::unique(Priorities_.begin(), Priorities_.end()),
                    Priorities_.end());
}

uint8_t ServiceClasses::rankOf(const opaque::Route *Route) const {
  if (!Route || !areSeveral())
    return LastRank;
  const auto It =
      std::find(Priorities_.begin(), Priorities_.end(), Route->Priority);
  // The least urgent priority has the last rank however many there are, so
  // that its limits cover all requests.
  if (It == Priorities_.end() || It + 1 == Priorities_.end())
    return LastRank;
  return std::min<uint8_t>(It - Priorities_.begin(), LastRank);
}

} // namespace dragonflystall::scheduling
