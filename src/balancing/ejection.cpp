// Ejection with hysteresis.
#include "balancing/ejection.h"

namespace dragonflystall::balancing {

namespace {

/// An upstream that answers in less than this share of the median time does
/// not do the same work.
constexpr double SuspectedBelow = 0.25;
/// It is trusted again above this share.
constexpr double TrustedAbove = 0.5;
/// Only an upstream with fewer requests in progress than this share of the
/// service's median attracts flows.
constexpr double IdleBelow = 0.5;

} // namespace

void Ejection::update(const UpstreamLoad &Load, const ServiceLoad &Service) {
  if (!Service.isKnown() || Load.WorkTime <= Duration::zero()) {
    Suspected_ = false;
    return;
  }
  const double Ratio =
      std::chrono::duration<double>(Load.WorkTime) / Service.MedianWork;
  const bool IsIdle =
      Load.InProgress / Load.Slots < IdleBelow * Service.MedianInProgress;
  if (Suspected_)
    Suspected_ = Ratio < TrustedAbove;
  else
    Suspected_ = Ratio < SuspectedBelow && IsIdle;
}

} // namespace dragonflystall::balancing
