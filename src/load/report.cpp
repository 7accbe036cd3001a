// The load report as JSON and as text.
#include "load/report.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dragonflystall::load {

namespace {

using Json = nlohmann::json;

double share(uint64_t Part, uint64_t Whole) {
  return Whole == 0 ? 1.0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

double inMilliseconds(double Seconds) { return 1e3 * Seconds; }

Json phaseJson(const PhaseTally &P) {
  return {{"name", P.Name},
          {"start_s", std::chrono::duration<double>(P.Start).count()},
          {"calls", P.Calls},
          {"served", P.Served},
          {"refused", P.Refused},
          {"may_have_run", P.MayHaveRun},
          {"failed", P.Failed},
          {"wrong", P.Wrong},
          {"misdelivered", P.Misdelivered},
          {"stalled", P.Stalled},
          {"attempts", P.Attempts},
          {"broken_flows", P.BrokenFlows.size()},
          {"service_level", share(P.Served, P.Calls)},
          {"latency_ms",
           {{"p50", inMilliseconds(P.Latency.quantile(0.5))},
            {"p95", inMilliseconds(P.Latency.quantile(0.95))},
            {"p99", inMilliseconds(P.Latency.quantile(0.99))}}}};
}

Json breakJson(const FlowBreak &B) {
  return {
      {"flow", B.Flow},
      {"phase", B.Phase},
      {"at_s", std::chrono::duration<double>(B.At).count()},
      {"last_served_s", std::chrono::duration<double>(B.LastServed).count()},
      {"last_upstream", B.LastUpstream}};
}

Json upstreamJson(const UpstreamReport &U) {
  return {{"name", U.Name},
          {"service", U.Service},
          {"gets", U.Gets},
          {"posts", U.Posts},
          {"peak", U.Peak},
          {"cold_overloads", U.ColdOverloads},
          {"hot_overloads", U.HotOverloads},
          {"shed", U.Shed},
          {"cancelled", U.Cancelled}};
}

Json imbalanceJson(const Report &R) {
  Json Services = Json::object();
  for (uint32_t I = 0; I < R.Asked.Targets.size(); ++I) {
    const auto Counts = R.Seen.flowsByUpstream(I);
    Services[R.Asked.Targets[I].Service] = {
        {"max_over_mean", imbalance(Counts)}, {"flows", Counts}};
  }
  return Services;
}

uint64_t total(const Report &R, uint64_t PhaseTally::*Field) {
  uint64_t Sum = 0;
  for (const PhaseTally &P : R.Seen.phases())
    Sum += P.*Field;
  return Sum;
}

} // namespace

uint64_t brokenPromises(const Report &R) {
  return total(R, &PhaseTally::Wrong) + total(R, &PhaseTally::Misdelivered) +
         R.Judged.DoubleRuns.size() + R.Judged.FalseNotRun.size() +
         R.Judged.FalseRan.size() + R.Proof.Silent.size();
}

std::string toJson(const Report &R) {
  Json Phases = Json::array();
  for (const PhaseTally &P : R.Seen.phases())
    Phases.push_back(phaseJson(P));
  Json Breaks = Json::array();
  for (const FlowBreak &B : R.Seen.breaks())
    Breaks.push_back(breakJson(B));
  Json Upstreams = Json::array();
  for (const UpstreamReport &U : R.Proof.Upstreams)
    Upstreams.push_back(upstreamJson(U));
  Json Silent = Json::array();
  for (Endpoint Each : R.Proof.Silent)
    Silent.push_back(toString(Each));
  const Json Whole = {{"flows",
                       {{"asked", R.Asked.Flows},
                        {"open", R.Seen.openFlows()},
                        {"broken", R.Seen.brokenFlows()}}},
                      {"calls", total(R, &PhaseTally::Calls)},
                      {"served", total(R, &PhaseTally::Served)},
                      {"refused", total(R, &PhaseTally::Refused)},
                      {"may_have_run", total(R, &PhaseTally::MayHaveRun)},
                      {"skipped", R.Seen.skipped()},
                      {"double_runs", R.Judged.DoubleRuns},
                      {"false_not_run", R.Judged.FalseNotRun},
                      {"false_ran", R.Judged.FalseRan},
                      {"wrong", total(R, &PhaseTally::Wrong)},
                      {"misdelivered", total(R, &PhaseTally::Misdelivered)},
                      {"silent_upstreams", Silent},
                      {"broken_promises", brokenPromises(R)},
                      {"imbalance", imbalanceJson(R)},
                      {"phases", Phases},
                      {"breaks", Breaks},
                      {"upstreams", Upstreams},
                      {"findings", R.Seen.findings()}};
  return Whole.dump(1) + "\n";
}

namespace {

constexpr size_t MaxShown = 20; ///< Findings in the text.

std::string phaseText(const PhaseTally &P) {
  return fmt::format(
      "{:<26} {:>7} {:>7} {:>7} {:>5} {:>5} {:>6} {:>6} {:>7.2f}% {:>7.1f} "
      "{:>7.1f}\n",
      P.Name, P.Calls, P.Served, P.Refused, P.MayHaveRun, P.Failed,
      P.BrokenFlows.size(), P.Stalled, 100 * share(P.Served, P.Calls),
      inMilliseconds(P.Latency.quantile(0.5)),
      inMilliseconds(P.Latency.quantile(0.99)));
}

std::string imbalanceText(const Report &R) {
  std::string Text;
  for (uint32_t I = 0; I < R.Asked.Targets.size(); ++I) {
    const auto Counts = R.Seen.flowsByUpstream(I);
    Text += fmt::format("{}: flows max/mean {:.3f} over {} upstreams\n",
                        R.Asked.Targets[I].Service, imbalance(Counts),
                        Counts.size());
  }
  return Text;
}

} // namespace

std::string toText(const Report &R) {
  std::string Text = fmt::format(
      "{:<26} {:>7} {:>7} {:>7} {:>5} {:>5} {:>6} {:>6} {:>8} {:>7} {:>7}\n",
      "phase", "calls", "served", "refused", "maybe", "fail", "broken",
      "frozen", "service", "p50 ms", "p99 ms");
  for (const PhaseTally &P : R.Seen.phases())
    Text += phaseText(P);
  Text += imbalanceText(R);
  Text += fmt::format(
      "flows {} open, {} broken; calls that found no free flow: {}\n"
      "double runs {}, false not-run {}, false ran {}, wrong answers {}, "
      "misdelivered {}, upstreams without evidence {}\n",
      R.Seen.openFlows(), R.Seen.brokenFlows(), R.Seen.skipped(),
      R.Judged.DoubleRuns.size(), R.Judged.FalseNotRun.size(),
      R.Judged.FalseRan.size(), total(R, &PhaseTally::Wrong),
      total(R, &PhaseTally::Misdelivered), R.Proof.Silent.size());
  const auto &Findings = R.Seen.findings();
  for (size_t I = 0; I < std::min(Findings.size(), MaxShown); ++I)
    Text += "  " + Findings[I] + "\n";
  if (Findings.size() > MaxShown)
    Text += fmt::format("  and {} more\n", Findings.size() - MaxShown);
  return Text;
}

} // namespace dragonflystall::load
