// An issuer's ids increase, so one floor per issuer covers all dropped records.
#include "spillbook.h"

#include <algorithm>

namespace dragonflystall {

SpillState SpillBook::state(AgentRef Issuer, uint64_t Id) const {
  const auto IssuerIt = Issuers_.find(Issuer);
  if (IssuerIt == Issuers_.end())
    return SpillState::New;
  const auto It = IssuerIt->second.ById.find(Id);
  if (It != IssuerIt->second.ById.end())
    return It->second.Outcome ? SpillState::Done : SpillState::InProgress;
  return Id <= IssuerIt->second.Floor ? SpillState::Dropped : SpillState::New;
}

const Answer &SpillBook::answer(AgentRef Issuer, uint64_t Id) const {
  return *Issuers_.at(Issuer).ById.at(Id).Outcome;
}

void SpillBook::add(AgentRef Issuer, uint64_t Id, TimePoint Now) {
  if (!Issuers_.contains(Issuer) && Issuers_.size() >= MaxSpillIssuers)
    dropOldestIssuer();
  IssuerRecords &Records = Issuers_[Issuer];
  Records.LastAt = Now;
  Records.ById.emplace(Id, Record());
  Insertions_.push_back({Now, Issuer, Id});
  ++Records_;
}

void SpillBook::accept(AgentRef Issuer, uint64_t Id, TimePoint Now) {
  add(Issuer, Id, Now);
}

void SpillBook::settle(AgentRef Issuer, uint64_t Id, const Answer &Outcome,
                       TimePoint Now) {
  const SpillState Current = state(Issuer, Id);
  if (Current == SpillState::Dropped || Current == SpillState::Done)
    return;
  if (Current == SpillState::New)
    add(Issuer, Id, Now);
  Issuers_.at(Issuer).ById.at(Id).Outcome = Outcome;
  Bytes_ += Outcome.bytes();
}

void SpillBook::dropUpTo(const Insertion &Oldest) {
  const auto It = Issuers_.find(Oldest.Issuer);
  if (It == Issuers_.end())
    return;
  IssuerRecords &Records = It->second;
  Records.Floor = std::max(Records.Floor, Oldest.Id);
  // Ids up to the floor count as dropped, so their records go too.
  while (!Records.ById.empty() &&
         Records.ById.begin()->first <= Records.Floor) {
    const Record &First = Records.ById.begin()->second;
    Bytes_ -= First.Outcome ? First.Outcome->bytes() : 0;
    --Records_;
    Records.ById.erase(Records.ById.begin());
  }
}

/// Drops the records of the least recently seen issuer, whose process has most
/// probably ended long ago.
void SpillBook::dropOldestIssuer() {
  const auto Older = [](const auto &A, const auto &B) {
    return A.second.LastAt < B.second.LastAt;
  };
  const auto Oldest = std::min_element(Issuers_.begin(), Issuers_.end(), Older);
  for (const auto &[Id, Entry] : Oldest->second.ById) {
    Bytes_ -= Entry.Outcome ? Entry.Outcome->bytes() : 0;
    --Records_;
  }
  Issuers_.erase(Oldest);
}

void SpillBook::tick(TimePoint Now) {
  while (!Insertions_.empty()) {
    const Insertion &Oldest = Insertions_.front();
    const bool OverLimit = Records_ > MaxSpillRecords || Bytes_ > MaxSpillBytes;
    if (!OverLimit && Now - Oldest.At < SpillRecordLifetime)
      return;
    dropUpTo(Oldest);
    Insertions_.pop_front();
  }
}

} // namespace dragonflystall
