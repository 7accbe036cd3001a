// A token bucket: tries at another upstream stay a share of the requests, so
// that they can't multiply the load when much fails at once.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_RETRYBUDGET_H
#define DRAGONFLYSTALL_SRC_REQUESTS_RETRYBUDGET_H

#include <algorithm>
#include <cstdint>

namespace dragonflystall {

class RetryBudget {
public:
  /// A request came in; it earns Percent hundredths of a retry.
  void earn(uint32_t Percent) {
    Hundredths_ = std::min(Hundredths_ + Percent, MaxRetries * PerRetry);
  }
  bool available() const { return Hundredths_ >= PerRetry; }
  void spend() { Hundredths_ -= std::min(Hundredths_, PerRetry); }

private:
  static constexpr uint32_t PerRetry = 100;
  /// What may be spent at once after a quiet time.
  static constexpr uint32_t MaxRetries = 10;
  uint32_t Hundredths_ = MaxRetries * PerRetry;
};

} // namespace dragonflystall

#endif
