// Additive growth, multiplicative decrease, one cut for each round of requests.
#include "admission.h"

namespace dragonflystall {

namespace {

/// Slowness that means cold: two answers far over the baseline in a row, or
/// three among a few more. Each normal answer takes some back.
constexpr uint32_t FarWeight = 3;
constexpr uint32_t NormalRelief = 1;
constexpr uint32_t ColdSlowness = 5;
/// A request that runs for longer is a sign before it ends.
constexpr int OverdueFactor = 8;
constexpr Duration OverdueFloor = 100ms;
/// The endpoints lag and mislead, so a bad hint only slows growth.
constexpr uint32_t CautionFactor = 2;
constexpr uint32_t FullLoad = 100;

} // namespace

void Admission::setSlots(uint32_t Slots) {
  Slots_ = std::max(Slots, 1U);
  Limit_ = std::min(Limit_, Slots_);
}

void Admission::onOutcome(const Sample &What, TimePoint Now,
                          AgentActions &Out) {
  if (What.Cancelled)
    return;
  switch (What.Outcome) {
  case UpstreamOutcome::Answered:
    onLatency(What, Now, Out);
    return;
  case UpstreamOutcome::Shed:
  case UpstreamOutcome::Failed:
  case UpstreamOutcome::TimedOut:
    if (What.Started >= LastCut_)
      shrink(Limit_ / 2, Now, Out);
    return;
  case UpstreamOutcome::Refused:
    // It is not there: what comes back will be cold.
    shrink(1, Now, Out);
    return;
  }
}

void Admission::onLatency(const Sample &What, TimePoint Now,
                          AgentActions &Out) {
  const Speed Judged =
      Baseline_.judge(What.Method, What.Bytes, Now - What.Started);
  if (What.Started < LastCut_)
    return;
  if (Judged == Speed::FarOver) {
    Slowness_ += FarWeight;
    if (Slowness_ >= ColdSlowness)
      shrink(Limit_ / 2, Now, Out);
    return;
  }
  Slowness_ -= std::min(Slowness_, NormalRelief);
  if (Judged == Speed::Normal)
    grow(What, Out);
}

void Admission::onRunning(TimePoint Started, TimePoint Now, AgentActions &Out) {
  if (Limit_ == 1 || Started < LastCut_)
    return;
  const Duration Typical = typicalLatency();
  if (Typical == Duration::zero())
    return;
  if (Now - Started > std::max(Typical * OverdueFactor, OverdueFloor))
    shrink(Limit_ / 2, Now, Out);
}

/// Completions below the limit prove nothing about bearing more.
void Admission::grow(const Sample &What, AgentActions &Out) {
  if (Limit_ >= Slots_ || What.Concurrency < Limit_)
    return;
  if (++Completions_ < completionsToGrow())
    return;
  // The limit held for all its rounds, so trying it was right.
  if (Limit_ >= FailedLimit_) {
    FailedLimit_ = 0;
    Patience_ = std::max(Patience_ / 2, MinPatience);
  }
  setLimit(Limit_ + 1, Out);
}

uint32_t Admission::completionsToGrow() const {
  const bool Caution = !Hint_.Healthy || Hint_.Load >= FullLoad;
  return Limit_ * Patience_ * (Caution ? CautionFactor : 1);
}

void Admission::shrink(uint32_t To, TimePoint Now, AgentActions &Out) {
  LastCut_ = Now;
  const uint32_t Target = std::max(To, 1U);
  // Still suspect: one more sign is enough for the next cut.
  Slowness_ = ColdSlowness - FarWeight;
  learnFromCut();
  Completions_ = 0;
  if (Target >= Limit_)
    return;
  Event Cold;
  Cold.Kind = EventKind::UpstreamCold;
  Cold.Value = Target;
  Out.emplace_back(Cold);
  setLimit(Target, Out);
}

/// A limit that fails soon after it was tried is tried again later each time,
/// so that a slow warm-up meets few requests too many.
void Admission::learnFromCut() {
  if (Limit_ == 1 || Completions_ >= Limit_ * MinPatience)
    return;
  FailedLimit_ = Limit_;
  Patience_ = std::min(Patience_ * 2, MaxPatience);
}

void Admission::setLimit(uint32_t To, AgentActions &Out) {
  Limit_ = To;
  Completions_ = 0;
  Event Changed;
  Changed.Kind = EventKind::LimitChanged;
  Changed.Value = Limit_;
  Out.emplace_back(Changed);
}

} // namespace dragonflystall
