// The priorities of a service's requests, as ranks: the manifest's numbers may
// be far apart, and only their order counts.
#ifndef DRAGONFLYSTALL_SRC_SCHEDULING_SERVICECLASSES_H
#define DRAGONFLYSTALL_SRC_SCHEDULING_SERVICECLASSES_H

#include "opaque/manifest.h"
#include "scheduling/requestscheduler.h"

#include <string>
#include <vector>

namespace dragonflystall::scheduling {

class ServiceClasses {
public:
  /// Rank of the least urgent requests.
  static constexpr uint8_t LastRank = MaxPriorities - 1;

  /// Takes the priorities of the routes that name the service, if the manifest
  /// or the service has changed.
  void update(const opaque::Manifest &Manifest, const std::string &Service);
  /// Whether the service's requests differ in priority.
  bool areSeveral() const { return Priorities_.size() > 1; }
  /// 0 for the most urgent priority. LastRank if the requests do not differ or
  /// the priority is not one of the service's.
  uint8_t rankOf(const opaque::Route *Route) const;

private:
  int64_t Version_ = -1; ///< Of the manifest that was read last.
  std::string Service_;
  std::vector<uint32_t> Priorities_; ///< Ascending, without duplicates.
};

} // namespace dragonflystall::scheduling

#endif
