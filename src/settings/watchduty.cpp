// Rendezvous ranks: every process ranks the candidates alike.
#include "settings/watchduty.h"

#include <xxhash.h>

namespace dragonflystall {

namespace {

uint64_t rankOf(Endpoint Address) {
  const uint64_t Word = (uint64_t{Address.Ip} << 16) | Address.Port;
  return XXH3_64bits(&Word, sizeof(Word));
}

} // namespace

WatchDuty::WatchDuty(WatchRole Role, Endpoint Self,
                     const std::vector<Endpoint> &Candidates)
    : Role_(Role), Self_(Self) {
  for (const Endpoint Candidate : Candidates)
    if (Candidate != Self)
      Heard_[Candidate];
}

void WatchDuty::heard(Endpoint Peer, TimePoint Now) {
  const auto It = Heard_.find(Peer);
  if (It != Heard_.end())
    It->second = Now;
}

bool WatchDuty::onDuty(TimePoint Now) const {
  size_t Alive = 0;
  size_t Before = 0;
  for (const auto &[Candidate, At] : Heard_) {
    if (!At || Now - *At > WatcherTimeout)
      continue;
    ++Alive;
    if (rankOf(Candidate) > rankOf(Self_))
      ++Before;
  }
  if (Role_ == WatchRole::Follower)
    return Alive == 0;
  return Before < Watchers;
}

} // namespace dragonflystall
