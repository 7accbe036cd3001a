// The newest era of the store in which all agents have had time to write their
// entries again.
// Load pattern: the store returns from a backup copy that lacks the entries of
// recent agents. These hold flows, so no list of the new era proves that a flow
// is gone until the agents have noticed the restore.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_SETTLEDERA_H
#define DRAGONFLYSTALL_SRC_OPAQUE_SETTLEDERA_H

#include "dragonflystall/clock.h"

#include <cstdint>

namespace dragonflystall::opaque {

class SettledEra {
public:
  /// An agent notices a restore and writes its entry again within this time:
  /// a broken connection is noticed within 3 s (TCP keep-alive), the next call
  /// follows within Backoff::MaxDelay.
  static constexpr Duration SettleTime = 5s;

  /// Call with the era of each answer of the store. The first era that a
  /// process sees counts as settled, as the process knows of no restore.
  void onEra(int64_t Era, TimePoint Now) {
    if (Era <= Era_)
      return;
    const int64_t Settled = at(Now);
    Before_ = Settled == 0 ? Era : Settled;
    Era_ = Era;
    Since_ = Now;
  }
  /// The newest settled era; 0 if no answer has named an era.
  int64_t at(TimePoint Now) const {
    return Now - Since_ > SettleTime ? Era_ : Before_;
  }
  /// Whether the present era is settled.
  bool isSettled(TimePoint Now) const { return at(Now) == Era_; }

private:
  int64_t Era_ = 0;    ///< The newest one.
  int64_t Before_ = 0; ///< The settled one until SettleTime has passed.
  TimePoint Since_{};  ///< When Era_ was first seen.
};

} // namespace dragonflystall::opaque

#endif
