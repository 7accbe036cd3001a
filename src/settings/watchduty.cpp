// Rendezvous hashing: all processes rank the candidates in the same order.
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
      LastMessages_[Candidate];
}

void WatchDuty::recordMessage(Endpoint Peer, TimePoint Now) {
  const auto It = LastMessages_.find(Peer);
  if (It != LastMessages_.end())
    It->second = Now;
}

bool WatchDuty::shouldWatch(TimePoint Now) const {
  size_t Alive = 0;
  size_t HigherRanked = 0;
  for (const auto &[Candidate, LastMessage] : LastMessages_) {
    if (!LastMessage || Now - *LastMessage > WatcherTimeout)
      continue;
    ++Alive;
    if (rankOf(Candidate) > rankOf(Self_))
      ++HigherRanked;
  }
  if (Role_ == WatchRole::Follower)
    return Alive == 0;
  return HigherRanked < Watchers;
}

} // namespace dragonflystall
