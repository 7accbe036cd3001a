// Peers that are ahead, and the fetches from them.
#include "opaque/catchup.h"

#include <algorithm>

namespace dragonflystall::opaque {

CatchUp::Peer *CatchUp::find(Endpoint Http) {
  const auto It =
      std::find_if(Peers_.begin(), Peers_.end(),
                   [Http](const Peer &P) { return P.Http == Http; });
  return It == Peers_.end() ? nullptr : &*It;
}

CatchUp::Peer *CatchUp::newPeer(TimePoint Now) {
  if (Peers_.size() < MaxPeers)
    return &Peers_.emplace_back();
  const auto Unused =
      std::find_if(Peers_.begin(), Peers_.end(), [Now](const Peer &P) {
        return !P.IsFetching && Now < P.PausedUntil;
      });
  return Unused == Peers_.end() ? nullptr : &*Unused;
}

void CatchUp::onReport(Endpoint Http, const ConfigVersions &Theirs,
                       const ConfigVersions &Ours, TimePoint Now) {
  // What one peer lacks says nothing about the others, so that a report that is
  // not newer has no effect on them.
  if (!isBehind(Ours, Theirs))
    return;
  Peer *Known = find(Http);
  if (!Known) {
    Known = newPeer(Now);
    if (!Known)
      return;
    *Known = {Http, Theirs, Now};
  } else if (!isBehind(Ours, Known->Versions)) {
    Known->AheadSince = Now;
  }
  // An answer that was of no use does not speak for newer versions.
  if (isBehind(Known->Versions, Theirs))
    Known->PausedUntil = {};
  Known->Versions = Theirs;
  Known->LastReport = Now;
}

void CatchUp::expire(const ConfigVersions &Ours, TimePoint Now) {
  std::erase_if(Peers_, [&](const Peer &P) {
    const bool IsGone = Now - P.LastReport > ReportTimeout;
    return !P.IsFetching && (IsGone || !isBehind(Ours, P.Versions));
  });
}

bool CatchUp::mayFetch(TimePoint Now) const {
  const auto InProgress = std::count_if(
      Peers_.begin(), Peers_.end(), [](const Peer &P) { return P.IsFetching; });
  if (InProgress == 0)
    return true;
  return static_cast<size_t>(InProgress) < MaxFetches &&
         Now - LastStart_ >= HedgeDelay;
}

std::optional<Endpoint> CatchUp::next(const ConfigVersions &Ours,
                                      TimePoint Now) {
  expire(Ours, Now);
  bool IsDue = false;
  Peer *Best = nullptr;
  for (Peer &P : Peers_) {
    if (!isBehind(Ours, P.Versions))
      continue;
    IsDue = IsDue || Now - P.AheadSince >= WatchDelay;
    if (P.IsFetching || Now < P.PausedUntil)
      continue;
    // The one that has reported last is the least likely to be frozen.
    if (!Best || P.LastReport > Best->LastReport)
      Best = &P;
  }
  if (!IsDue || !Best || !mayFetch(Now))
    return std::nullopt;
  Best->IsFetching = true;
  Best->FetchedFor = Best->Versions;
  LastStart_ = Now;
  return Best->Http;
}

void CatchUp::endFetch(Endpoint Http, TimePoint PausedUntil) {
  Peer *Asked = find(Http);
  if (!Asked)
    return;
  Asked->IsFetching = false;
  Asked->PausedUntil = PausedUntil;
}

void CatchUp::onAnswer(Endpoint Http, const ConfigVersions &Ours,
                       TimePoint Now) {
  const Peer *Asked = find(Http);
  const bool WasUseful = Asked && !isBehind(Ours, Asked->FetchedFor);
  endFetch(Http, WasUseful ? TimePoint{} : Now + UselessPause);
}

void CatchUp::onFailure(Endpoint Http, TimePoint Now) {
  endFetch(Http, Now + FailurePause);
}

} // namespace dragonflystall::opaque
