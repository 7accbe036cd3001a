// The balancer's core: steers each caller's packet to the agent that holds its
// flow, or else to the flow's home, and forwards each answer to its caller.
#ifndef DRAGONFLYSTALL_SRC_STEERING_BALANCERCORE_H
#define DRAGONFLYSTALL_SRC_STEERING_BALANCERCORE_H

#include "dragonflystall/balancercore.h"
#include "steering/counters.h"

#include <map>
#include <memory>
#include <string>

namespace dragonflystall {

struct BalancerIdentity {
  std::string Zone;
  /// This balancer's address on the internal network; agents send answers to
  /// this address.
  Endpoint Data;
  /// Number of flows for which the flow cache is sized.
  size_t FlowCapacity = 500'000;
};

/// Steering decision for a caller's packet. Outcome is Hit or Miss when the
/// packet is forwarded, otherwise the reason why it is not.
struct Steering {
  SteerCounter Outcome = SteerCounter::UnknownAddress;
  AgentId Agent = AgentId::None;
  Endpoint To;
  ServiceId Service = ServiceId::None;
  uint64_t RosterVersion = 0;

  bool forwarded() const {
    return Outcome == SteerCounter::Hit || Outcome == SteerCounter::Miss;
  }
};

class BalancerCore {
public:
  explicit BalancerCore(BalancerIdentity Self);
  ~BalancerCore();
  BalancerCore(const BalancerCore &) = delete;
  BalancerCore &operator=(const BalancerCore &) = delete;

  /// Appends the resulting actions to Out. Now must not decrease between calls.
  /// Payloads in Out are valid until the next call.
  void handle(const BalancerEvent &Input, TimePoint Now, BalancerActions &Out);

  /// Returns the decision that handle() makes for a caller's packet, without
  /// the resulting actions.
  Steering steer(const CallerPacket &Packet, TimePoint Now);
  /// Prefetches the flow's cache entry. For a batch of packets, call this for
  /// each packet before the first one is handled.
  void prefetch(const CallerPacket &Packet) const;

  const SteerCounters &counters() const;
  /// Whether settings have been received and this balancer's zone is in.
  bool ready() const;
  /// Whether internal packets and control messages from this address are
  /// accepted: the address lies in the networks of a zone that is in.
  bool accepts(uint32_t Ip) const;
  uint64_t settingsVersion() const;
  /// The current roster; nullptr before the first one is received.
  const Roster *roster(ServiceId Service) const;
  /// Versions of the current rosters, by "team/name" of the service.
  std::map<std::string, uint64_t> rosterVersions() const;
  /// Picks one of the agents in the rosters by RandomValue and returns its
  /// control address; nullopt if the agent picked is not reachable or the
  /// service picked has no agents.
  std::optional<Endpoint> pickPeer(uint64_t RandomValue) const;
  size_t cachedFlows() const;
  size_t cacheBytes() const;
  uint64_t cacheEvictions() const;
  size_t suspects() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
