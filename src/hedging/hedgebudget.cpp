// Limits hedges to a share of the requests.
#include "hedging/hedgebudget.h"

namespace dragonflystall::hedging {

namespace {

constexpr double PerCent = 100;

int64_t secondOf(TimePoint Now) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             Now.time_since_epoch())
      .count();
}

} // namespace

HedgeBudget::Second &HedgeBudget::currentSecond(TimePoint Now) {
  const int64_t Number = secondOf(Now);
  Second &Result = Seconds_[static_cast<size_t>(Number) % SecondCount];
  if (Result.Number != Number)
    Result = {Number, 0, 0};
  return Result;
}

void HedgeBudget::onRequest(TimePoint Now) { ++currentSecond(Now).Requests; }

HedgeBudget::Sum HedgeBudget::sumOf(TimePoint Now,
                                    bool WithOldestRequests) const {
  const int64_t Number = secondOf(Now);
  constexpr auto Oldest = static_cast<int64_t>(SecondCount) - 1;
  Sum Result;
  for (const Second &S : Seconds_) {
    const int64_t Age = Number - S.Number;
    if (Age > Oldest)
      continue;
    Result.Hedges += S.Hedges;
    if (Age < Oldest || WithOldestRequests)
      Result.Requests += S.Requests;
  }
  return Result;
}

bool HedgeBudget::take(TimePoint Now) {
  const Sum Past = sumOf(Now, /*WithOldestRequests=*/false);
  if (PerCent * static_cast<double>(Past.Hedges + 1) >
      Percent_ * static_cast<double>(Past.Requests))
    return false;
  ++currentSecond(Now).Hedges;
  return true;
}

double HedgeBudget::extraPercent(TimePoint Now) const {
  const Sum Past = sumOf(Now, /*WithOldestRequests=*/true);
  return Past.Requests == 0 ? 0
                            : PerCent * static_cast<double>(Past.Hedges) /
                                  static_cast<double>(Past.Requests);
}

} // namespace dragonflystall::hedging
