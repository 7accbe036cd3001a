// The searches in progress.
#include "opaque/search.h"

namespace dragonflystall::opaque {

Search *Searches::find(uint64_t Hash) {
  const auto It = Searches_.find(Hash);
  return It == Searches_.end() ? nullptr : &It->second;
}

Search *Searches::start(const FlowId &Flow, const std::string &Service,
                        const Directory &Agents, TimePoint Now) {
  if (Searches_.size() >= MaxSearches)
    return nullptr;
  Search &Pending = Searches_[hashOf(Flow)];
  Pending.Flow = Flow;
  Pending.Service = Service;
  Pending.Started = Now;
  for (const Agent *Candidate : Agents.agentsOf(Service))
    if (!Agents.isSuspect(*Candidate, Now))
      Pending.AwaitedAgents.push_back(Candidate->Id);
    else if (!Agents.isGivenUp(*Candidate, Now) &&
             Candidate->LastReport.State != Intake::Ended)
      Pending.Incomplete = true;
  return &Pending;
}

void Searches::hold(Search &Pending, const PacketHead &Head,
                    std::string_view Bytes) {
  if (Pending.HeldPackets.size() >= MaxHeldPackets)
    Pending.HeldPackets.erase(Pending.HeldPackets.begin());
  Pending.HeldPackets.push_back({Head, std::string(Bytes)});
}

std::vector<Search *> Searches::overdue(TimePoint Now) {
  std::vector<Search *> Result;
  for (auto &[Hash, Pending] : Searches_)
    if (!Pending.UnsureAgents.empty() && Now - Pending.Started > OfferDelay)
      Result.push_back(&Pending);
  return Result;
}

std::vector<Search> Searches::expire(TimePoint Now) {
  std::vector<Search> Expired;
  for (auto It = Searches_.begin(); It != Searches_.end();) {
    if (Now - It->second.Started <= SearchTimeout) {
      ++It;
      continue;
    }
    Expired.push_back(std::move(It->second));
    It = Searches_.erase(It);
  }
  return Expired;
}

} // namespace dragonflystall::opaque
