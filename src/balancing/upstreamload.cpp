// Relative speed and expected load of upstreams.
#include "balancing/upstreamload.h"

#include <algorithm>

namespace dragonflystall::balancing {

namespace {

using RealSeconds = std::chrono::duration<double>;

/// Lower bound on the weight of an open flow, relative to a request in
/// progress: an uneven number of open flows outlasts many requests.
constexpr double MinOpenFlowWeight = 0.03;
/// Upper bound: a flow sends one request at a time.
constexpr double MaxOpenFlowWeight = 1;
/// Estimated work times of equal upstreams differ by up to this factor.
constexpr double EqualWithin = 1.5;
/// Least cost of crossing into another availability zone, as a share of all
/// slots.
constexpr double MinCrossingCost = 0.35;
/// Greatest cost: an upstream that has refused a flow counts as having two
/// requests per slot.
constexpr double MaxCrossingCost = 1.5;

template <typename T> T medianOf(std::vector<T> &Values) {
  const auto Middle = Values.begin() + Values.size() / 2;
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

ServiceLoad summarize(const std::vector<UpstreamLoad> &Upstreams) {
  std::vector<Duration> WorkTimes;
  std::vector<double> InProgress;
  double Rate = 0;
  double Flows = 0;
  for (const UpstreamLoad &U : Upstreams) {
    if (U.WorkTime <= Duration::zero())
      continue;
    WorkTimes.push_back(U.WorkTime);
    InProgress.push_back(U.InProgress / U.Slots);
    Rate += U.RequestRate;
    Flows += U.OpenFlows;
  }
  if (WorkTimes.size() < ServiceLoad::MinUpstreams)
    return {};
  const Duration Work = medianOf(WorkTimes);
  const double RatePerFlow = Flows > 0 ? Rate / Flows : 0;
  return {Work, medianOf(InProgress), RatePerFlow * RealSeconds(Work).count()};
}

double slownessOf(const UpstreamLoad &Load, const ServiceLoad &Service) {
  if (!Service.isKnown() || Load.WorkTime <= Duration::zero())
    return 1;
  const double Ratio = RealSeconds(Load.WorkTime) / Service.MedianWork;
  return std::clamp(Ratio / EqualWithin, 1.0, MaxSlowness);
}

double expectedLoad(const UpstreamLoad &Load, const ServiceLoad &Service) {
  const double OpenFlowWeight =
      std::clamp(Service.RequestsPerFlow, MinOpenFlowWeight, MaxOpenFlowWeight);
  const double Requests = (Load.InProgress + Load.SentSince) / Load.Slots;
  const double FromOpenFlows = OpenFlowWeight * Load.OpenFlows / Load.Slots;
  const double Slowness = slownessOf(Load, Service);
  // A slow upstream takes longer for the new flow's own request, too.
  const double OwnRequest = (Slowness - 1) / Load.Slots;
  return (Requests + FromOpenFlows) * Slowness + OwnRequest;
}

double crossingCost(Duration RoundTrip, const ServiceLoad &Service) {
  if (!Service.isKnown())
    return MinCrossingCost;
  const double OnTheWay = RealSeconds(RoundTrip) / Service.MedianWork;
  return std::clamp(OnTheWay, MinCrossingCost, MaxCrossingCost);
}

} // namespace dragonflystall::balancing
