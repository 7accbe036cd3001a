// What a balancer shows of itself: /status as JSON, /metrics as Prometheus
// text.
#ifndef DRAGONFLYSTALL_SRC_STEERING_BALANCERSTATUS_H
#define DRAGONFLYSTALL_SRC_STEERING_BALANCERSTATUS_H

#include "steering/balancercore.h"

#include <map>
#include <string>

namespace dragonflystall {

/// What the daemon knows beside the core.
struct BalancerStatus {
  std::string Name;
  std::string Zone;
  bool Stopping = false;
  /// The highest settings version seen, also of refused objects.
  uint64_t SettingsSeen = 0;
  /// Keys whose newest value is invalid, with the reason.
  std::map<std::string, std::string> RefusedSettings;
  bool PlatformDown = false;
  uint64_t PlatformCalls = 0;
  uint64_t ControlBytesSent = 0;
  uint64_t ControlBytesReceived = 0;
  uint64_t ControlDropped = 0;
  uint64_t MalformedPackets = 0;
  uint64_t MalformedMessages = 0;
  uint64_t ForeignMessages = 0;
  uint64_t UnsentPackets = 0;
};

std::string statusJson(const BalancerStatus &Shell, const BalancerCore &Core);
std::string metricsText(const BalancerStatus &Shell, const BalancerCore &Core);

} // namespace dragonflystall

#endif
