// Counters of the balancer's core: outcomes of packets and updates, with the
// names that the metrics use.
#ifndef DRAGONFLYSTALL_SRC_STEERING_COUNTERS_H
#define DRAGONFLYSTALL_SRC_STEERING_COUNTERS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace dragonflystall {

enum class SteerCounter : uint8_t {
  Hit,            ///< Forwarded to the holder found in the cache.
  Miss,           ///< Forwarded to the flow's home.
  Reply,          ///< Answer forwarded to its caller.
  Probe,          ///< Probe sent to an agent that has not responded.
  Parked,         ///< Held until the service's roster is received.
  UnknownAddress, ///< Dropped: no service has the address.
  OwnZoneOut,     ///< Dropped: this balancer's zone is out.
  NoRoster,       ///< Dropped: the service's roster is not known.
  NoAgent,        ///< Dropped: no agent is eligible for the packet.
  ForeignSender, ///< Dropped: the sender is in no network of a zone that is in.
  WrongService,  ///< Dropped: a reply's service and service address differ.
  Unexpected,    ///< Dropped: a kind that balancers do not handle.
  StaleSettings, ///< Ignored: not newer than the current settings.
  StaleRoster,   ///< Ignored: not newer than the current roster.
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
constexpr std::string_view name(SteerCounter Counter) {
  return SteerCounterNames[static_cast<size_t>(Counter)];
}

class SteerCounters {
public:
  void add(SteerCounter Counter) { ++Values_[static_cast<size_t>(Counter)]; }
  uint64_t operator[](SteerCounter Counter) const {
    return Values_[static_cast<size_t>(Counter)];
  }

private:
  std::array<uint64_t, SteerCounterNames.size()> Values_{};
};

} // namespace dragonflystall

#endif
