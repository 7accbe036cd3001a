// Tracking of flows that open, and of the copies of their SYNs.
#include "opaque/openings.h"

#include <algorithm>
#include <utility>

namespace dragonflystall::opaque {

namespace {

/// The shortest known time to an answer may grow by this factor per answer, so
/// that a longer way becomes known.
constexpr double ShortestGrowth = 1.01;

} // namespace

void Openings::ServiceState::record(Duration Time, TimePoint Now) {
  Delay.record(Time, Now);
  const auto Longest =
      std::chrono::duration_cast<Duration>(Shortest * ShortestGrowth);
  Shortest = Shortest == Duration::zero() ? Time : std::min(Time, Longest);
}

size_t Openings::Opening::outstanding() const {
  return std::count_if(Copies.begin(), Copies.end(),
                       [](const Copy &C) { return !C.Denied; });
}

Openings::Opening *Openings::find(uint64_t Hash) {
  if (!mayTrack(Hash))
    return nullptr;
  const auto It = Flows_.find(Hash);
  return It == Flows_.end() ? nullptr : &It->second;
}

Openings::ServiceState *Openings::stateOf(const std::string &Service) {
  const auto It = Services_.find(Service);
  if (It != Services_.end())
    return &It->second;
  if (Services_.size() == MaxServices)
    return nullptr;
  ServiceState &State = Services_[Service];
  State.Budget.setPercent(Limits_.Percent);
  return &State;
}

void Openings::start(const PacketHead &Head, std::string_view Bytes,
                     const std::string &Service, const Agent &Target,
                     TimePoint Now) {
  ServiceState *State = stateOf(Service);
  if (!State)
    return;
  State->Budget.onRequest(Now);
  if (Flows_.size() == MaxTracked || State->Placed.size() == MaxTracked)
    return;
  const uint64_t Hash = hashOf(Head.fromCaller());
  Opening &Flow = Flows_[Hash];
  Flow.Service = Service;
  Flow.StartedAt = Now;
  Flow.Syn = {Head, std::string(Bytes)};
  Flow.Copies = {{Target.Id, Now}};
  State->Placed.push_back({Hash, Now});
  ++FlowsPerBucket_[Hash % FlowsPerBucket_.size()];
  ++Pending_;
}

void Openings::onPlaced(const PacketHead &Head, std::string_view Bytes,
                        const std::string &Service, const Agent &Target,
                        bool IsFirst, TimePoint Now) {
  const uint64_t Hash = hashOf(Head.fromCaller());
  Opening *Flow = find(Hash);
  if (!Flow) {
    if (isOn() && IsFirst)
      start(Head, Bytes, Service, Target, Now);
    return;
  }
  // A late copy of an open flow's SYN, or a route that names other services.
  if (Flow->AnsweredAt || Flow->Service != Service ||
      Flow->Copies.size() == MaxCopies)
    return conclude(Hash, Flow->Guess, Now);
  const bool WasRefused = Flow->outstanding() == 0;
  Flow->Copies.push_back({Target.Id, Now});
  if (!WasRefused)
    markDecided(*Flow); // The caller has repeated its SYN.
  else if (!Flow->Decided)
    Services_.at(Service).Placed.push_back({Hash, Now});
}

void Openings::markDecided(Opening &Flow) {
  Pending_ -= Flow.isPending();
  Flow.Decided = true;
  Flow.Syn = {};
}

const Openings::Copy *Openings::likelyCopy(const Opening &Flow,
                                           const ServiceState &State,
                                           TimePoint AnsweredAt) {
  const Copy *Result = nullptr;
  for (auto C = Flow.Copies.rbegin(); C != Flow.Copies.rend(); ++C) {
    if (C->Denied)
      continue;
    Result = &*C;
    // An answer that comes sooner belongs to an earlier copy.
    if (AnsweredAt - C->PlacedAt >= State.Shortest)
      break;
  }
  return Result;
}

Agent *Openings::onPacket(uint64_t Hash, const PacketHead &Head,
                          TimePoint Now) {
  Opening *Flow = find(Hash);
  if (!Flow)
    return nullptr;
  if (Head.Reset && !Flow->AnsweredAt) {
    conclude(Hash, AgentId::None, Now);
    return nullptr;
  }
  if (Flow->AnsweredAt) {
    reconsider(*Flow, Head, Now);
    return Agents_.find(Flow->Guess);
  }
  Pending_ -= Flow->isPending();
  Flow->AnsweredAt = Now;
  Flow->Syn = {};
  const Copy *Likely = likelyCopy(*Flow, Services_.at(Flow->Service), Now);
  Flow->Guess = Likely ? Likely->To : AgentId::None;
  reconsider(*Flow, Head, Now);
  Agent *Target = Agents_.find(Flow->Guess);
  if (Flow->outstanding() <= 1)
    conclude(Hash, Flow->Guess, Now);
  return Target;
}

void Openings::reconsider(Opening &Flow, const PacketHead &Head,
                          TimePoint Now) {
  if (Head.PayloadBytes == 0)
    return;
  if (!Flow.DataAt) {
    Flow.DataAt = Now;
    Flow.DataSequence = Head.Sequence;
    return;
  }
  if (Head.Sequence != Flow.DataSequence ||
      Now - *Flow.DataAt < RepetitionTime || Flow.outstanding() <= 1)
    return;
  for (Copy &C : Flow.Copies)
    C.Denied = C.Denied || C.To == Flow.Guess;
  const Copy *Next =
      likelyCopy(Flow, Services_.at(Flow.Service), *Flow.AnsweredAt);
  Flow.Guess = Next ? Next->To : Flow.Guess;
  Flow.DataAt = Now;
}

bool Openings::deny(Opening &Flow, Endpoint Sender) {
  bool Found = false;
  for (Copy &C : Flow.Copies) {
    const Agent *Target = Agents_.find(C.To);
    if (Target && Target->Entry.Packets == Sender)
      C.Denied = Found = true;
  }
  return Found;
}

bool Openings::onSynReturned(uint64_t Hash, Endpoint Sender) {
  Opening *Flow = find(Hash);
  if (!Flow || !deny(*Flow, Sender) || !Flow->isHedged())
    return false;
  return Flow->AnsweredAt || Flow->outstanding() > 0;
}

Agent *Openings::onPacketReturned(uint64_t Hash, Endpoint Sender,
                                  TimePoint Now) {
  Opening *Flow = find(Hash);
  if (!Flow || !Flow->AnsweredAt)
    return nullptr;
  const Copy *Next = nullptr;
  if (deny(*Flow, Sender))
    Next = likelyCopy(*Flow, Services_.at(Flow->Service), *Flow->AnsweredAt);
  Agent *Other = Next ? Agents_.find(Next->To) : nullptr;
  if (!Other) {
    conclude(Hash, AgentId::None, Now);
    return nullptr;
  }
  Flow->Guess = Other->Id;
  return Other;
}

void Openings::onRefusal(const std::string &Service, TimePoint Now) {
  const auto It = Services_.find(Service);
  if (It != Services_.end())
    It->second.RefusedAt = Now;
}

uint32_t Openings::triedBits(uint64_t Hash) {
  uint32_t Bits = 0;
  const Opening *Flow = find(Hash);
  if (!Flow || !Flow->isHedged())
    return Bits;
  for (const Copy &C : Flow->Copies)
    if (const Agent *Target = Agents_.find(C.To))
      Bits |= Directory::triedBit(*Target);
  return Bits;
}

Agent *Openings::repeatTarget(uint64_t Hash) {
  const Opening *Flow = find(Hash);
  if (!Flow || !Flow->isHedged() || Flow->AnsweredAt)
    return nullptr;
  const auto First = std::find_if(Flow->Copies.begin(), Flow->Copies.end(),
                                  [](const Copy &C) { return !C.Denied; });
  return First == Flow->Copies.end() ? nullptr : Agents_.find(First->To);
}

void Openings::conclude(uint64_t Hash, AgentId Winner, TimePoint Now) {
  const auto It = Flows_.find(Hash);
  const Opening &Flow = It->second;
  ServiceState &State = Services_.at(Flow.Service);
  Pending_ -= Flow.isPending();
  if (isOn() && Winner != AgentId::None)
    for (const Copy &C : Flow.Copies)
      if (C.To == Winner) {
        State.record(*Flow.AnsweredAt - C.PlacedAt, Now);
        break;
      }
  if (Flow.isHedged()) {
    const bool HasWon = Winner == Flow.Copies[Flow.Hedge].To;
    State.count(HasWon ? OpeningHedgeResult::Won : OpeningHedgeResult::Lost);
    Agent *First = Agents_.find(Flow.Copies[Flow.Hedge - 1].To);
    // As if the caller had repeated its SYN, which the hedge made needless.
    if (HasWon && First)
      ++First->RepeatedSyns;
  }
  --FlowsPerBucket_[Hash % FlowsPerBucket_.size()];
  Flows_.erase(It);
}

void Openings::expire(TimePoint Now) {
  std::vector<std::pair<uint64_t, AgentId>> Ended;
  for (const auto &[Hash, Flow] : Flows_) {
    if (Flow.AnsweredAt && Now - *Flow.AnsweredAt > SettleTime)
      Ended.emplace_back(Hash, Flow.Guess);
    else if (!Flow.AnsweredAt &&
             Now - Flow.StartedAt > SynDeadlines::AttemptTimeout)
      Ended.emplace_back(Hash, AgentId::None);
  }
  // The map's order must not decide in which order times are recorded.
  std::sort(Ended.begin(), Ended.end());
  for (const auto &[Hash, Winner] : Ended)
    conclude(Hash, Winner, Now);
  for (auto &[Name, State] : Services_)
    dropOutdated(State);
}

std::map<std::string, Openings::ServiceCounts>
Openings::counts(TimePoint Now) const {
  std::map<std::string, ServiceCounts> Result;
  for (const auto &[Name, State] : Services_)
    Result[Name] = {State.Counts, State.Budget.extraPercent(Now)};
  return Result;
}

} // namespace dragonflystall::opaque
