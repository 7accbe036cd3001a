// The searches in progress.
#include "opaque/search.h"

namespace dragonflystall::opaque {

Search *Searches::find(uint64_t Hash) {
  const auto It = Searches_.find(Hash);
  return It == Searches_.end() ? nullptr : &It->second;
}

Search *Searches::start(const FlowId &Flow, const std::string &Service,
                        const Directory &Agents, TimePoint Now) {
  if (Searches_.size() >= MostSearches)
    return nullptr;
  Search &S = Searches_[hashOf(Flow)];
  S.Flow = Flow;
  S.Service = Service;
  S.Started = Now;
  for (const Agent *A : Agents.of(Service))
    if (!Agents.suspect(*A, Now))
      S.Open.push_back(A->Id);
    else if (!Agents.givenUp(*A, Now) && A->Last.State != Intake::Ended)
      S.Incomplete = true;
  return &S;
}

void Searches::wait(Search &S, const PacketHead &Head, std::string_view Bytes) {
  if (S.Waiting.size() >= MostWaiting)
    S.Waiting.erase(S.Waiting.begin());
  S.Waiting.push_back({Head, std::string(Bytes)});
}

std::vector<Search *> Searches::overdue(TimePoint Now) {
  std::vector<Search *> Result;
  for (auto &[Hash, S] : Searches_)
    if (!S.Unsure.empty() && Now - S.Started > AnswersWithin)
      Result.push_back(&S);
  return Result;
}

std::vector<Search> Searches::expire(TimePoint Now) {
  std::vector<Search> Expired;
  for (auto It = Searches_.begin(); It != Searches_.end();) {
    if (Now - It->second.Started <= GiveUpAfter) {
      ++It;
      continue;
    }
    Expired.push_back(std::move(It->second));
    It = Searches_.erase(It);
  }
  return Expired;
}

} // namespace dragonflystall::opaque
