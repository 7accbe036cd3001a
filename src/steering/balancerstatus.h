// A balancer's status page (/status, JSON) and metrics (/metrics, Prometheus
// text).
#ifndef DRAGONFLYSTALL_SRC_STEERING_BALANCERSTATUS_H
#define DRAGONFLYSTALL_SRC_STEERING_BALANCERSTATUS_H

#include "steering/balancercore.h"

#include <map>
#include <string>

namespace dragonflystall {

/// State of the daemon that is not part of the core.
struct BalancerStatus {
  std::string Name;
  std::string Zone;
  bool Stopping = false;
  /// The highest settings version received, including refused objects.
  uint64_t SettingsSeen = 0;
  /// Reason for refusal, by the key whose newest value is invalid.
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

std::string statusJson(const BalancerStatus &Status, const BalancerCore &Core);
std::string metricsText(const BalancerStatus &Status, const BalancerCore &Core);

} // namespace dragonflystall

#endif
