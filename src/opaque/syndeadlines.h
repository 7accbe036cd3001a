// The times until which callers wait for the answer to a SYN. Load pattern:
// callers that retransmit their SYNs while agents return the earlier copies. If
// each return started the time limit again, a flow would be placed after its
// caller has given up.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_SYNDEADLINES_H
#define DRAGONFLYSTALL_SRC_OPAQUE_SYNDEADLINES_H

#include "dragonflystall/clock.h"

#include <array>
#include <deque>
#include <unordered_map>
#include <utility>

namespace dragonflystall::opaque {

class SynDeadlines {
public:
  /// A caller ends an attempt after this time without an answer to its SYN, and
  /// then starts a new attempt.
  static constexpr Duration AttemptTimeout = 1400ms;
  /// A new flow may wait for this share of its caller's timeout; the rest is
  /// left for the request itself.
  static constexpr double MaxWaitShare = 0.9;
  /// A request can be answered within its aim if its flow waits for this share
  /// of the aim at most; the rest is for the request and its way.
  static constexpr double MaxAimShare = 0.5;
  /// When callers send the copies of a SYN, after the first one.
  static constexpr std::array<Duration, 3> CopyTimes = {0ms, 200ms, 600ms};
  /// A flow is remembered for this time, since an agent that was suspended may
  /// return a SYN after the end of its attempt.
  static constexpr Duration Memory = 2 * AttemptTimeout;
  /// Limit on the remembered flows, some 80 bytes each. Beyond it the oldest
  /// ones are forgotten, and the number of a copy tells when the first SYN was
  /// sent.
  static constexpr size_t MaxFlows = 16384;

  /// How long after its first SYN a flow may be placed.
  static Duration maxWait(Duration Timeout);
  /// Until when a flow with this deadline can be placed for an answer within
  /// the aim of its route; TimePoint::max() if Aim is 0.
  static TimePoint aimBy(TimePoint Deadline, Duration Timeout, Duration Aim);
  /// The deadline of a flow whose caller has sent the SYN with this number of
  /// copies before. Timeout: the caller's for the answer; 0 if not known.
  TimePoint onSyn(uint64_t Hash, uint32_t Copy, Duration Timeout,
                  TimePoint Now);
  /// The same for a SYN that an agent has returned or that has waited.
  TimePoint onReturned(uint64_t Hash, uint32_t Copy, Duration Timeout,
                       TimePoint Now);
  size_t size() const { return Flows_.size(); }

private:
  struct Attempt {
    TimePoint RecordedAt{};
    TimePoint FirstSyn{};
    TimePoint Deadline{};
  };
  TimePoint record(uint64_t Hash, uint32_t Copy, Duration Timeout,
                   TimePoint Now);
  void forget(TimePoint Now);

  std::unordered_map<uint64_t, Attempt> Flows_;
  /// Contains each flow with its RecordedAt, oldest first, and perhaps earlier
  /// times of the same flow.
  std::deque<std::pair<uint64_t, TimePoint>> Order_;
};

} // namespace dragonflystall::opaque

#endif
