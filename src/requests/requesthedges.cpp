// One delay estimate for each idempotent method.
#include "requesthedges.h"

#include <algorithm>

namespace dragonflystall {

/// Methods.size() for a method that is never hedged.
size_t RequestHedges::indexOf(Code Method) {
  return static_cast<size_t>(std::ranges::find(Methods, Method) -
                             Methods.begin());
}

void RequestHedges::onRequest(TimePoint Now) {
  if (isOn())
    Budget_.onRequest(Now);
}

void RequestHedges::onRun(Code Method, Duration RunTime, TimePoint Now) {
  const size_t Index = indexOf(Method);
  if (isOn() && Index < Methods.size())
    Estimates_[Index].record(RunTime, Now);
}

std::optional<Duration> RequestHedges::delay(Code Method, TimePoint Now) {
  const size_t Index = indexOf(Method);
  if (!isOn() || Index == Methods.size())
    return std::nullopt;
  return Estimates_[Index].delay(Now);
}

std::optional<Duration> RequestHedges::leastDelay(TimePoint Now) {
  std::optional<Duration> Least;
  for (const Code Method : Methods)
    if (const auto Delay = delay(Method, Now))
      Least = std::min(Least.value_or(*Delay), *Delay);
  return Least;
}

HedgeReport RequestHedges::report(TimePoint Now) {
  return {isOn(), Counts_, Budget_.extraPercent(Now)};
}

size_t RequestHedges::observations(Code Method) const {
  const size_t Index = indexOf(Method);
  return Index < Methods.size() ? Estimates_[Index].observations() : 0;
}

} // namespace dragonflystall
