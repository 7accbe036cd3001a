// The stand-in's fault switches, set by POST /faults.
#ifndef DRAGONFLYSTALL_STANDINS_UPSTREAM_FAULTS_H
#define DRAGONFLYSTALL_STANDINS_UPSTREAM_FAULTS_H

#include "dragonflystall/clock.h"

#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace dragonflystall::standin {

class Faults {
public:
  explicit Faults(uint64_t Seed) : Random_(Seed) {}

  /// Takes the switches that the object names and leaves the others.
  void apply(const nlohmann::json &Switches) {
    const std::lock_guard Lock(Mutex_);
    ShedPercent_ = Switches.value("shed_percent", ShedPercent_);
    Slow_ = std::chrono::milliseconds(Switches.value(
        "slow_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(Slow_).count()));
    Draining_ = Switches.value("draining", Draining_);
    if (Switches.contains("lying_load"))
      Load_ = Switches["lying_load"].get<uint32_t>();
    if (Switches.value("silent", false))
      Silent_ = Connections_;
  }

  bool shedNext() {
    const std::lock_guard Lock(Mutex_);
    return std::uniform_int_distribution<uint32_t>(0, 99)(Random_) <
           ShedPercent_;
  }

  /// Notes a caller's port as one of an open connection.
  void sawConnection(int RemotePort) {
    const std::lock_guard Lock(Mutex_);
    Connections_.insert(RemotePort);
  }
  /// The connection was open when silence was switched on: it swallows all.
  bool silent(int RemotePort) const {
    const std::lock_guard Lock(Mutex_);
    return Silent_.count(RemotePort) != 0;
  }

  Duration slow() const {
    const std::lock_guard Lock(Mutex_);
    return Slow_;
  }
  bool draining() const {
    const std::lock_guard Lock(Mutex_);
    return Draining_;
  }
  std::optional<uint32_t> lyingLoad() const {
    const std::lock_guard Lock(Mutex_);
    return Load_;
  }

private:
  mutable std::mutex Mutex_;
  Random Random_;
  uint32_t ShedPercent_ = 0;
  Duration Slow_{};
  bool Draining_ = false;
  std::optional<uint32_t> Load_;
  std::set<int> Connections_;
  std::set<int> Silent_;
};

} // namespace dragonflystall::standin

#endif
