// What the balancer's core counts, with the names that the metrics use.
#ifndef DRAGONFLYSTALL_SRC_STEERING_COUNTERS_H
#define DRAGONFLYSTALL_SRC_STEERING_COUNTERS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace dragonflystall {

enum class SteerCounter : uint8_t {
  Hit,            ///< Sent to the holder that the cache knows.
  Miss,           ///< Sent to the flow's home.
  Reply,          ///< Answer passed on to its caller.
  Probe,          ///< Probe sent to a silent agent.
  Parked,         ///< Kept until the service's roster is known.
  UnknownAddress, ///< Dropped: no service has the address.
  OwnZoneOut,     ///< Dropped: this balancer's zone is out.
  NoRoster,       ///< Dropped: the service's roster is not known.
  NoAgent,        ///< Dropped: no agent may take the packet.
  ForeignSender,  ///< Dropped: the sender's address is in no zone that is in.
  WrongService,   ///< Dropped: service and address of a reply don't match.
  Unexpected,     ///< Dropped: a kind that balancers don't take.
  StaleSettings,  ///< Ignored: older than the settings in force.
  StaleRoster,    ///< Ignored: older than the roster in force.
};

constexpr std::array<std::string_view, 14> SteerCounterNames = {
    "hit",
    "miss",
    "reply",
    "probe",
    "parked",
    "unknown-address",
    "own-zone-out",
    "no-roster",
    "no-agent",
    "foreign-sender",
    "wrong-service",
    "unexpected",
    "stale-settings",
    "stale-roster"};
constexpr std::string_view name(SteerCounter C) {
  return SteerCounterNames[static_cast<size_t>(C)];
}

class SteerCounters {
public:
  void add(SteerCounter C) { ++Values_[static_cast<size_t>(C)]; }
  uint64_t operator[](SteerCounter C) const {
    return Values_[static_cast<size_t>(C)];
  }

private:
  std::array<uint64_t, SteerCounterNames.size()> Values_{};
};

} // namespace dragonflystall

#endif
