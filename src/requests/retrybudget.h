// A token bucket that limits retries at another upstream to a share of the
// requests, so that retries can't multiply the load during large failures.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_RETRYBUDGET_H
#define DRAGONFLYSTALL_SRC_REQUESTS_RETRYBUDGET_H

#include <algorithm>
#include <cstdint>

namespace dragonflystall {

class RetryBudget {
public:
  /// Credits Percent hundredths of a retry for one received request.
  void earn(uint32_t Percent) {
    Hundredths_ = std::min(Hundredths_ + Percent, MaxRetries * PerRetry);
  }
  bool isAvailable() const { return Hundredths_ >= PerRetry; }
  void spend() { Hundredths_ -= std::min(Hundredths_, PerRetry); }

private:
  static constexpr uint32_t PerRetry = 100;
  /// The capacity of the bucket: the largest burst of retries.
  static constexpr uint32_t MaxRetries = 10;
  uint32_t Hundredths_ = MaxRetries * PerRetry;
};

} // namespace dragonflystall

#endif
