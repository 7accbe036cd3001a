// Ejects upstreams that seem to fail all requests quickly.
//
// Load pattern: an upstream answers errors at once. It has few requests in
// progress and would get most new flows. Payloads are not read, so that the
// signs are a work time far below that of the others, and idle slots.
#ifndef DRAGONFLYSTALL_SRC_BALANCING_EJECTION_H
#define DRAGONFLYSTALL_SRC_BALANCING_EJECTION_H

#include "balancing/upstreamload.h"

#include <algorithm>

namespace dragonflystall::balancing {

/// Whether one upstream is suspected, as one balancer sees it.
class Ejection {
public:
  /// Share of the new flows of a service that go to an ejected upstream, to
  /// find out whether it works again, whatever the number of balancers.
  static constexpr double ProbeShare = 0.01;
  /// At most this share of a service's upstreams is ejected.
  static constexpr double MaxShare = 1.0 / 3;

  /// Call when the upstream has reported or the others have changed.
  void update(const UpstreamLoad &Load, const ServiceLoad &Service);
  bool isSuspected() const { return Suspected_; }

private:
  bool Suspected_ = false;
};

/// The number of upstreams that are ejected if this many are suspected. It is
/// never most of them: what most have in common is the median.
constexpr size_t ejectedCount(size_t Suspected, size_t Upstreams) {
  const auto Most =
      static_cast<size_t>(Ejection::MaxShare * static_cast<double>(Upstreams));
  return std::min(Suspected, Most);
}

} // namespace dragonflystall::balancing

#endif
