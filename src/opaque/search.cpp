// The searches in progress.
#include "opaque/search.h"

#include <algorithm>
#include <utility>

namespace dragonflystall::opaque {

Search *Searches::find(uint64_t Hash) {
  const auto It = Searches_.find(Hash);
  return It == Searches_.end() ? nullptr : &It->second;
}

void Searches::await(Search &Pending, const Agent &Candidate,
                     const Directory &Agents, TimePoint Now) {
  if (!Agents.isSuspect(Candidate, Now))
    Pending.AwaitedAgents.push_back(Candidate.Id);
  else if (!Agents.isGivenUp(Candidate, Now) &&
           Candidate.LastReport.State != Intake::Ended)
    Pending.Incomplete = true;
}

Search *Searches::start(const FlowId &Flow, std::vector<std::string> Services,
                        const Directory &Agents, TimePoint Now) {
  if (Searches_.size() >= MaxSearches)
    return nullptr;
  Search &Pending = Searches_[hashOf(Flow)];
  Pending.Flow = Flow;
  Pending.Services = std::move(Services);
  Pending.Started = Now;
  Pending.QueriedUpTo = Agents.newestSerial();
  for (const std::string &Service : Pending.Services)
    for (const Agent *Candidate : Agents.agentsOf(Service))
      await(Pending, *Candidate, Agents, Now);
  return &Pending;
}

void Searches::widen(Search &Pending, const Directory &Agents, TimePoint Now) {
  addNew(Pending, Agents, Now);
  Pending.Widened = true;
  if (Agents.agents().size() > MaxWidened) {
    Pending.Incomplete = true;
    return;
  }
  const std::vector<std::string> &Queried = Pending.Services;
  for (const auto &[Name, Candidate] : Agents.agents())
    if (std::find(Queried.begin(), Queried.end(), Candidate->Entry.Service) ==
        Queried.end())
      await(Pending, *Candidate, Agents, Now);
}

void Searches::addNew(Search &Pending, const Directory &Agents, TimePoint Now) {
  const uint64_t QueriedUpTo =
      std::exchange(Pending.QueriedUpTo, Agents.newestSerial());
  if (QueriedUpTo == Pending.QueriedUpTo)
    return;
  const std::vector<std::string> &Queried = Pending.Services;
  for (const auto &[Name, Candidate] : Agents.agents()) {
    const bool IsOfService =
        std::find(Queried.begin(), Queried.end(), Candidate->Entry.Service) !=
        Queried.end();
    if (Candidate->Serial > QueriedUpTo && (IsOfService || Pending.Widened))
      await(Pending, *Candidate, Agents, Now);
  }
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
    if (Now - Pending.Started > OfferDelay)
      Result.push_back(&Pending);
  return Result;
}

std::vector<Search *> Searches::awaitingRead() {
  std::vector<Search *> Result;
  for (auto &[Hash, Pending] : Searches_)
    if (Pending.AwaitsRead)
      Result.push_back(&Pending);
  return Result;
}

void Searches::waiveEnded(Search &Pending, Directory &Agents) {
  std::erase_if(Pending.AwaitedAgents, [&](AgentId Id) {
    const Agent *Member = Agents.find(Id);
    return Member && Member->LastReport.State == Intake::Ended;
  });
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
