// Recent outcomes of requests to an upstream, as far as the packets of their
// flows show them. An upstream may fail part of its requests although it
// reports to be healthy; as it fails them fast, it looks idle and would get
// more than its share of new flows. Payloads are not inspected: an error that
// is sent as an answer counts as an answer.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_OUTCOMES_H
#define DRAGONFLYSTALL_SRC_OPAQUE_OUTCOMES_H

#include "dragonflystall/clock.h"

namespace dragonflystall::opaque {

class Outcomes {
public:
  /// Outcomes lose half their weight in this time, so that an upstream that got
  /// no new flows because of failures is soon tried again.
  static constexpr Duration HalfLife = 2s;

  /// Call when the upstream has restarted.
  void forgetWorkTime() { WorkTime_ = {}; }
  void onAnswered(Duration ResponseTime);
  /// Call with the time from a request's first data to its answer, if the
  /// request found a free slot.
  void onWork(Duration Work);
  void onFailed(uint32_t Requests) { Failed_ += Requests; }
  /// Call regularly.
  void age(TimePoint Now);

  /// Share of the requests that failed, 0 to 1; small while few have ended.
  double failureShare() const;
  /// Median time of recent requests that found a free slot: unlike the mean, it
  /// depends neither on the load nor on the few requests that take long. Zero
  /// until the first of them.
  Duration workTime() const { return WorkTime_; }
  /// A request that has no answer after this time counts as failed.
  Duration requestTimeout() const;

private:
  double Answered_ = 0; ///< Weighted as of AgedAt_, like Failed_.
  double Failed_ = 0;
  TimePoint AgedAt_{};
  Duration MeanResponse_{}; ///< Zero until the first answer.
  Duration WorkTime_{};
};

} // namespace dragonflystall::opaque

#endif
