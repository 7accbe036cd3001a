// Counts calls and judges which flows broke.
#include "load/tally.h"

#include <algorithm>
#include <fmt/format.h>

namespace dragonflystall::load {

namespace {

constexpr Duration FrozenAfter = 3s;
/// A fault that begins while a call is under way may be what ends it.
constexpr Duration Grace = 500ms;
constexpr size_t MaxFindings = 2000;

double inSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

Tally::Tally(uint32_t Flows) : Flows_(Flows) { startPhase("warm-up", {}); }

void Tally::startPhase(std::string Name, Duration At) {
  PhaseTally &Phase = Phases_.emplace_back();
  Phase.Name = std::move(Name);
  Phase.Start = At;
}

PhaseTally &Tally::phaseAt(Duration At) {
  auto It = std::find_if(Phases_.rbegin(), Phases_.rend(),
                         [&](const PhaseTally &P) { return P.Start <= At; });
  return It != Phases_.rend() ? *It : Phases_.front();
}

SecondTally &Tally::secondAt(Duration At) {
  const auto Index = static_cast<size_t>(inSeconds(At));
  if (Index >= Seconds_.size())
    Seconds_.resize(Index + 1);
  return Seconds_[Index];
}

void Tally::callStarted(Duration At) { ++secondAt(At).Started; }

void Tally::noteFinding(const Sample &S, std::string_view What) {
  if (Findings_.size() == MaxFindings)
    return;
  Findings_.push_back(fmt::format(
      "{:.3f} s {}: flow {} {} key {} {} after {:.0f} ms, {} attempt(s), {}",
      inSeconds(S.Ended), What, S.Flow, S.Post ? "POST" : "GET", S.Key,
      name(S.Result.Outcome), 1e3 * inSeconds(S.Result.Took), S.Result.Attempts,
      S.Check.Upstream.empty() ? "no upstream" : S.Check.Upstream));
}

/// A call on an established flow that ended without any answer, or whose
/// answer could not tell whether it ran: the user's device hangs or has to ask
/// a person. An honest refusal and a true outcome keep the flow whole.
bool Tally::breaksFlow(const Sample &S) const {
  if (!Flows_[S.Flow].Established)
    return false;
  return S.Result.Outcome == Verdict::MayHaveRun ||
         S.Result.Kind == Code::Empty;
}

void Tally::noteVerdict(const Sample &S) {
  if (!S.Post)
    return;
  switch (S.Result.Outcome) {
  case Verdict::NotRun:
    Told_.NotRun.push_back(S.Key);
    return;
  case Verdict::Ran:
    Told_.Ran.push_back(S.Key);
    return;
  case Verdict::MayHaveRun:
    Told_.MayHaveRun.push_back(S.Key);
    return;
  }
}

void Tally::add(const Sample &S) {
  PhaseTally &Phase = phaseAt(std::min(S.Ended, S.Started + Grace));
  SecondTally &Second = secondAt(S.Ended);
  FlowState &Flow = Flows_[S.Flow];
  Flow.Target = S.Target;
  ++Phase.Calls;
  Phase.Attempts += S.Result.Attempts;
  Phase.Stalled += S.Result.Took > FrozenAfter ? 1 : 0;
  noteVerdict(S);
  if (breaksFlow(S)) {
    Phase.BrokenFlows.insert(S.Flow);
    Broken_.insert(S.Flow);
    Breaks_.push_back(
        {S.Flow, Phase.Name, S.Ended, Flow.LastServed, Flow.LastUpstream});
    noteFinding(S, "broken flow");
  }
  if (S.Result.Outcome == Verdict::NotRun) {
    ++Phase.Refused;
    ++Second.Refused;
  } else if (S.Result.Outcome == Verdict::MayHaveRun) {
    ++Phase.MayHaveRun;
    ++Second.MayHaveRun;
  } else if (S.Result.Kind >= Code::BadRequest ||
             S.Result.Kind == Code::Empty) {
    ++Phase.Failed;
    noteFinding(S, "failed");
  } else if (S.Check.Result == Correctness::Right) {
    ++Phase.Served;
    ++Second.Served;
    ++Second.ByUpstream[S.Check.Upstream];
    Phase.Latency.record(S.Result.Took);
    Established_ += Flow.Established ? 0 : 1;
    Flow.Established = true;
    Flow.LastUpstream = S.Check.Upstream;
    Flow.LastServed = S.Ended;
  } else {
    ++(S.Check.Result == Correctness::Misdelivered ? Phase.Misdelivered
                                                   : Phase.Wrong);
    noteFinding(S, name(S.Check.Result));
  }
  Second.OpenFlows = Established_;
  Second.BrokenFlows = brokenFlows();
}

std::map<std::string, uint32_t> Tally::flowsByUpstream(uint32_t Target) const {
  std::map<std::string, uint32_t> Counts;
  for (const FlowState &Flow : Flows_)
    if (Flow.Established && Flow.Target == Target)
      ++Counts[Flow.LastUpstream];
  return Counts;
}

double imbalance(const std::map<std::string, uint32_t> &Counts) {
  if (Counts.empty())
    return 0;
  uint64_t Sum = 0;
  uint32_t Most = 0;
  for (const auto &[Name, Count] : Counts) {
    Sum += Count;
    Most = std::max(Most, Count);
  }
  return static_cast<double>(Most) * static_cast<double>(Counts.size()) /
         static_cast<double>(Sum);
}

} // namespace dragonflystall::load
