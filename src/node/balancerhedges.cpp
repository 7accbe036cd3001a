// Second openings of flows at a balancer: the timer, logs and metrics.
#include "node/balancer.h"

#include "observe/jsontext.h"

#include <cmath>

namespace dragonflystall::node {

namespace {

/// How often flows that are being opened are checked while hedging is on. A
/// second opening comes later by at most this.
constexpr Duration HedgeInterval = 5ms;

} // namespace

void Balancer::updateHedgeLimits() {
  Steering_.setHedgeLimits({Settings_.HedgePercent, Settings_.HedgeAllKinds});
}

void Balancer::scheduleHedges() {
  if (Steering_.openings().isOn() && Steering_.openings().hasPending())
    HedgeTimer_.start(HedgeInterval);
}

void Balancer::hedgeOpenings() {
  const TimePoint Now = Services_.now();
  for (const opaque::HedgeAction &Hedge : Steering_.hedge(Now)) {
    const opaque::HeldPacket &Syn = Hedge.Decision.Syn;
    logHedge(Hedge.Decision);
    if (Hedge.Decision.Second)
      carryOut(Hedge.Action, Syn.Head, Syn.Bytes, Now);
  }
  flush();
  scheduleHedges();
}

void Balancer::logHedge(const opaque::HedgeDecision &Decision) {
  const bool IsSent = Decision.Second != nullptr;
  auto Line = Services_.log(IsSent ? LogClass::Notable : LogClass::Routine,
                            IsSent ? "opening-hedged" : "opening-not-hedged");
  Line.text("flow", toString(Decision.Syn.Head.fromCaller()))
      .text("result", name(Decision.Result))
      .text("service", Decision.Service)
      .age("waited_ms", Decision.Waited)
      .age("delay_ms", Decision.Delay)
      .number("percentile", hedging::DelayEstimate::Percentile)
      .number("observations", Decision.Observations);
  if (Decision.First)
    Line.text("first", Decision.First->Entry.Name)
        .age("first_report_age_ms", Services_.now() - Decision.First->LastPong);
  if (IsSent)
    Line.text("second", Decision.Second->Entry.Name)
        .number("second_busy", Decision.Second->LastReport.Busy)
        .age("second_report_age_ms",
             Services_.now() - Decision.Second->LastPong);
}

Balancer::HedgeMetrics &Balancer::hedgeMetricsOf(const std::string &Service) {
  const auto [It, IsNew] = HedgeMetrics_.try_emplace(Service);
  HedgeMetrics &Result = It->second;
  if (!IsNew)
    return Result;
  const std::string Label = fmt::format("service={}", jsonString(Service));
  for (size_t I = 0; I < Result.Results.size(); ++I)
    Result.Results[I] = &Services_.Counts.counter(
        {"dragonflystall_hedges_total", "Hedges by result.",
         fmt::format("{},result=\"{}\"", Label,
                     opaque::OpeningHedgeResultNames[I])});
  Result.ExtraPercent = &Services_.Counts.gauge(
      {"dragonflystall_hedge_extra_percent",
       "Hedges of the last minute in percent of the new flows, rounded up.",
       Label});
  return Result;
}

void Balancer::countHedges(TimePoint Now) {
  for (const auto &[Service, Counts] : Steering_.openings().counts(Now)) {
    HedgeMetrics &Metrics = hedgeMetricsOf(Service);
    for (size_t I = 0; I < Counts.Flows.size(); ++I)
      Metrics.Results[I]->add(Counts.Flows[I] - Metrics.Results[I]->value());
    Metrics.ExtraPercent->set(
        static_cast<int64_t>(std::ceil(Counts.ExtraPercent)));
  }
}

} // namespace dragonflystall::node
