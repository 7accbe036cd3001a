// Decides when a balancer reads the agents' entries from the store to confirm
// that no agent is missing from its directory, and which searches a read
// covers. An agent accepts new flows only while the store lists its entry, so
// that a linearizable read that began after a packet had arrived contains every
// agent that can hold the packet's flow.
// Load pattern: after a loss of power all open flows are dead, and every
// caller's next packet starts a search that ends with a denial; one read serves
// all searches that began before it.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_ENTRYCONFIRMATION_H
#define DRAGONFLYSTALL_SRC_OPAQUE_ENTRYCONFIRMATION_H

#include "opaque/storewatch.h"

namespace dragonflystall::opaque {

class EntryConfirmation {
public:
  /// Least time between the beginnings of two reads.
  static constexpr Duration MinInterval = 100ms;

  explicit EntryConfirmation(uint64_t Seed) : Retry_(Seed) {}

  /// A search that began at Started was denied and waits for a read.
  void request(TimePoint Started) {
    if (!covers(Started))
      NewestWaiting_ = std::max(NewestWaiting_.value_or(Started), Started);
  }
  /// No search waits any more.
  void cancel() { NewestWaiting_.reset(); }

  bool isDue(TimePoint Now) const {
    return NewestWaiting_ && !InProgress_ && Retry_.hasElapsed(Now) &&
           (!LastBegan_ || Now - *LastBegan_ >= MinInterval);
  }
  /// A read begins, in the store's present era.
  void onBegan(TimePoint Now) {
    InProgress_ = true;
    IsOutdated_ = false;
    LastBegan_ = Now;
  }
  /// The read in progress has succeeded. Returns false if a new era has begun
  /// meanwhile, so that the read proves nothing.
  bool onRead() {
    InProgress_ = false;
    Retry_.onSuccess();
    if (IsOutdated_)
      return false;
    CoversUpTo_ = LastBegan_;
    if (NewestWaiting_ && covers(*NewestWaiting_))
      cancel();
    return true;
  }
  void onFailed(TimePoint Now) {
    InProgress_ = false;
    Retry_.onFailure(Now);
  }
  /// The store has returned from a copy: earlier reads prove nothing.
  void onNewEra() {
    CoversUpTo_.reset();
    IsOutdated_ = true;
  }
  /// Whether a successful read of this era began after the search did.
  bool covers(TimePoint Started) const {
    return CoversUpTo_ && Started <= *CoversUpTo_;
  }

private:
  Backoff Retry_;
  /// Beginning of the newest search that waits for a read.
  std::optional<TimePoint> NewestWaiting_;
  std::optional<TimePoint> LastBegan_; ///< Beginning of the last read.
  /// Beginning of the last successful read of this era.
  std::optional<TimePoint> CoversUpTo_;
  bool InProgress_ = false;
  bool IsOutdated_ = false; ///< A new era has begun since LastBegan_.
};

} // namespace dragonflystall::opaque

#endif
