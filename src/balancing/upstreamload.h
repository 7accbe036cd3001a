// Comparison of the upstreams of a service by what their agents report.
//
// Load pattern: upstreams of different speed, upstreams that fail requests
// quickly and so look idle, and flows that bring many requests each. All state
// is in the reports, so that a balancer that has just started places new flows
// like the others after its first report of each upstream.
#ifndef DRAGONFLYSTALL_SRC_BALANCING_UPSTREAMLOAD_H
#define DRAGONFLYSTALL_SRC_BALANCING_UPSTREAMLOAD_H

#include "dragonflystall/types.h"

#include <cstddef>
#include <vector>

namespace dragonflystall::balancing {

/// What a balancer knows of one upstream.
struct UpstreamLoad {
  double Slots = 1;
  /// Requests at the upstream and at its agent.
  double InProgress = 0;
  double SentSince = 0; ///< New flows sent since the report.
  double OpenFlows = 0;
  double RequestRate = 0; ///< Requests begun per second, on all flows.
  /// How long the upstream works on a request, without time in a queue; zero if
  /// not known.
  Duration WorkTime{};
};

/// What the upstreams of a service have in common. Unknown, and all zero, while
/// fewer than MinUpstreams have reported their work time.
struct ServiceLoad {
  static constexpr size_t MinUpstreams = 4;

  Duration MedianWork{};
  double MedianInProgress = 0; ///< Per slot.
  /// Requests that an open flow is expected to have in progress.
  double RequestsPerFlow = 0;

  bool isKnown() const { return MedianWork > Duration::zero(); }
};

ServiceLoad summarize(const std::vector<UpstreamLoad> &Upstreams);

/// How much longer an upstream takes for a request than the others of its
/// service, beyond what estimates differ by: 1 if it takes about as long or is
/// not known, MaxSlowness at the most.
double slownessOf(const UpstreamLoad &Load, const ServiceLoad &Service);
/// An upstream that is slower by more still gets new flows while the others are
/// busy.
constexpr double MaxSlowness = 4;

/// The requests that a new flow has to expect before its own, per slot, in
/// units of a request at an average upstream.
double expectedLoad(const UpstreamLoad &Load, const ServiceLoad &Service);

/// The cost of crossing into another availability zone, in the same units: the
/// round trip in relation to the work time, within limits. The lower one keeps
/// flows in their zone while the load is alike; the upper one is below the cost
/// of a full upstream, so that an idle zone is used before flows are refused.
double crossingCost(Duration RoundTrip, const ServiceLoad &Service);

} // namespace dragonflystall::balancing

#endif
