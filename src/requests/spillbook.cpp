// An issuer's ids increase, so one floor per issuer covers all dropped records.
#include "spillbook.h"

#include <algorithm>

namespace dragonflystall {

SpillState SpillBook::state(AgentRef Issuer, uint64_t Id) const {
  const auto Of = Issuers_.find(Issuer);
  if (Of == Issuers_.end())
    return SpillState::New;
  const auto At = Of->second.Known.find(Id);
  if (At != Of->second.Known.end())
    return At->second.Outcome ? SpillState::Done : SpillState::InProgress;
  return Id <= Of->second.Floor ? SpillState::Forgotten : SpillState::New;
}

const Answer &SpillBook::answer(AgentRef Issuer, uint64_t Id) const {
  return *Issuers_.at(Issuer).Known.at(Id).Outcome;
}

void SpillBook::add(AgentRef Issuer, uint64_t Id, TimePoint Now) {
  if (!Issuers_.contains(Issuer) && Issuers_.size() >= MaxSpillIssuers)
    forgetIssuer();
  IssuerRecords &Of = Issuers_[Issuer];
  Of.LastAt = Now;
  Of.Known.emplace(Id, Record());
  Order_.push_back({Now, Issuer, Id});
  ++Records_;
}

void SpillBook::accept(AgentRef Issuer, uint64_t Id, TimePoint Now) {
  add(Issuer, Id, Now);
}

void SpillBook::settle(AgentRef Issuer, uint64_t Id, const Answer &Outcome,
                       TimePoint Now) {
  const SpillState Known = state(Issuer, Id);
  if (Known == SpillState::Forgotten || Known == SpillState::Done)
    return;
  if (Known == SpillState::New)
    add(Issuer, Id, Now);
  Issuers_.at(Issuer).Known.at(Id).Outcome = Outcome;
  Bytes_ += Outcome.bytes();
}

void SpillBook::forget(const Mark &Oldest) {
  const auto Of = Issuers_.find(Oldest.Issuer);
  if (Of == Issuers_.end())
    return;
  IssuerRecords &Records = Of->second;
  Records.Floor = std::max(Records.Floor, Oldest.Id);
  // Ids below the floor count as forgotten, so their records are dropped too.
  while (!Records.Known.empty() &&
         Records.Known.begin()->first <= Records.Floor) {
    const Record &First = Records.Known.begin()->second;
    Bytes_ -= First.Outcome ? First.Outcome->bytes() : 0;
    --Records_;
    Records.Known.erase(Records.Known.begin());
  }
}

/// Drops the records of the least recently seen issuer, whose process has most
/// probably ended long ago.
void SpillBook::forgetIssuer() {
  const auto Older = [](const auto &A, const auto &B) {
    return A.second.LastAt < B.second.LastAt;
  };
  const auto Oldest = std::min_element(Issuers_.begin(), Issuers_.end(), Older);
  for (const auto &[Id, Each] : Oldest->second.Known) {
    Bytes_ -= Each.Outcome ? Each.Outcome->bytes() : 0;
    --Records_;
  }
  Issuers_.erase(Oldest);
}

void SpillBook::tick(TimePoint Now) {
  while (!Order_.empty()) {
    const Mark &Oldest = Order_.front();
    const bool Over = Records_ > MaxSpillRecords || Bytes_ > MaxSpillBytes;
    if (!Over && Now - Oldest.At < SpillRecordLifetime)
      return;
    forget(Oldest);
    Order_.pop_front();
  }
}

} // namespace dragonflystall
