// Admission with an upstream that starts cold, warms up with the requests that
// it completes, and becomes cold a second time without notice; compared with
// always using all configured slots.
#include "bench.h"

#include "admission/admission.h"

#include <chrono>
#include <cmath>
#include <fmt/format.h>
#include <queue>

namespace dragonflystall::bench {

namespace {

constexpr uint32_t Slots = 4;
constexpr Duration ServiceTime = 5ms;
constexpr Duration ColdTime = 5s;
constexpr int ColdSlowdown = 2;
constexpr double OverloadExponent = 3;

/// Serves one concurrent request when cold and all slots when warm. Above this
/// capacity, service time grows with a power of the overload ratio.
class ColdUpstream {
public:
  explicit ColdUpstream(uint64_t Seed) : Random_(Seed) {}

  Duration begin() {
    const uint32_t Capacity = capacity();
    const bool Overloaded = ++Running_ > Capacity;
    Overloads_ += Overloaded;
    std::uniform_real_distribution<double> Spread(0.5, 1.5);
    const auto Work = std::chrono::duration_cast<Duration>(
        ServiceTime * Spread(Random_) * (Warmth_ < 1 ? ColdSlowdown : 1));
    if (!Overloaded)
      return Work;
    const double Ratio = static_cast<double>(Running_) / Capacity;
    return std::chrono::duration_cast<Duration>(
        Work * std::pow(Ratio, OverloadExponent));
  }
  void end() {
    --Running_;
    const double Share = std::chrono::duration<double>(ServiceTime) /
                         std::chrono::duration<double>(ColdTime);
    Warmth_ = std::min(1.0, Warmth_ + Share * ColdSlowdown / capacity());
  }
  void cool() { Warmth_ = 0; }
  uint64_t overloads() const { return Overloads_; }

private:
  uint32_t capacity() const {
    return 1 + static_cast<uint32_t>(Warmth_ * (Slots - 1));
  }
  Random Random_;
  double Warmth_ = 0;
  uint32_t Running_ = 0;
  uint64_t Overloads_ = 0;
};

struct RunningRequest {
  TimePoint EndsAt;
  TimePoint Started;
  uint32_t Concurrency = 0;
  bool operator<(const RunningRequest &Other) const {
    return EndsAt > Other.EndsAt;
  }
};

struct Load {
  uint64_t Completed = 0;
  uint64_t Overloads = 0;
  uint64_t Signature = 0;
  double Seconds = 0;
};

/// Demand is unlimited: as many requests run as the policy admits.
Load drive(bool WithAdmission) {
  constexpr Duration Length = 60s;
  constexpr Duration SecondColdStartAt = 30s;
  constexpr Duration TickInterval = 100ms;
  ColdUpstream Upstream(1);
  Admission Limit(Slots);
  std::priority_queue<RunningRequest> Running;
  AgentActions Out;
  Load Result;
  TimePoint Now{1min};
  TimePoint NextTick = Now;
  const TimePoint End = Now + Length;
  bool Cooled = false;
  const auto Start = std::chrono::steady_clock::now();
  while (Now < End) {
    while (Running.size() < (WithAdmission ? Limit.limit() : Slots)) {
      const auto Concurrency = static_cast<uint32_t>(Running.size() + 1);
      Running.push({Now + Upstream.begin(), Now, Concurrency});
    }
    if (Running.top().EndsAt >= NextTick) {
      Now = NextTick;
      NextTick += TickInterval;
      auto Copy = Running;
      for (; WithAdmission && !Copy.empty(); Copy.pop())
        Limit.onRunning(Copy.top().Started, Now, Out);
      if (!Cooled && End - Now <= SecondColdStartAt) {
        Upstream.cool();
        Cooled = true;
      }
      Out.clear();
      continue;
    }
    const RunningRequest First = Running.top();
    Running.pop();
    Now = First.EndsAt;
    Upstream.end();
    ++Result.Completed;
    Admission::Sample Sample;
    Sample.Outcome = UpstreamOutcome::Answered;
    Sample.Started = First.Started;
    Sample.Concurrency = First.Concurrency;
    Limit.onOutcome(Sample, Now, Out);
    Result.Signature = mix(Result.Signature, Limit.limit());
  }
  const std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - Start;
  Result.Seconds = Elapsed.count();
  Result.Overloads = Upstream.overloads();
  return Result;
}

} // namespace

Outcome admitToColdUpstream() {
  const Load With = drive(true);
  const Load Without = drive(false);
  Outcome Result;
  Result.Decisions = With.Completed;
  Result.Seconds = With.Seconds;
  Result.Signature = mix(With.Signature, With.Overloads);
  Result.Remark = fmt::format("60 s, two cold starts: {} completed, {} "
                              "overloads; always all slots: {}, {}",
                              With.Completed, With.Overloads, Without.Completed,
                              Without.Overloads);
  return Result;
}

} // namespace dragonflystall::bench
