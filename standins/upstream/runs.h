// What ran at the stand-in: how often each POST's key was started, and totals.
#ifndef DRAGONFLYSTALL_STANDINS_UPSTREAM_RUNS_H
#define DRAGONFLYSTALL_STANDINS_UPSTREAM_RUNS_H

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace dragonflystall::standin {

class Runs {
public:
  /// Returns how often the key was started, this time included.
  uint32_t startPost(const std::string &Key) {
    const std::lock_guard Lock(Mutex_);
    ++Posts_;
    return ++ByKey_[Key];
  }
  void startGet() { count(Gets_); }
  void shed() { count(Shed_); }
  void cancelled() { count(Cancelled_); }
  void completed() { count(Completed_); }

  nlohmann::json toJson() const {
    const std::lock_guard Lock(Mutex_);
    return {{"runs", ByKey_},          {"posts", Posts_},
            {"gets", Gets_},           {"shed", Shed_},
            {"completed", Completed_}, {"cancelled", Cancelled_}};
  }

private:
  void count(uint64_t &Counter) {
    const std::lock_guard Lock(Mutex_);
    ++Counter;
  }

  mutable std::mutex Mutex_;
  std::map<std::string, uint32_t> ByKey_;
  uint64_t Posts_ = 0;
  uint64_t Gets_ = 0;
  uint64_t Shed_ = 0;
  uint64_t Cancelled_ = 0;
  uint64_t Completed_ = 0;
};

} // namespace dragonflystall::standin

#endif
