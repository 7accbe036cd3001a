// The balancer's core: steers each caller's packet to the agent that holds its
// flow, or to the flow's home, and each answer to its caller.
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
  /// The own address on the internal network, to which agents send answers.
  Endpoint Data;
  /// Flows that the cache has room for.
  size_t FlowCapacity = 500'000;
};

/// Where a caller's packet goes. Outcome is Hit or Miss when it is sent on,
/// else the reason why it is not.
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

  /// Appends to Out what is to be done. Now never falls from call to call.
  /// Payloads in Out are valid until the next call.
  void handle(const BalancerEvent &What, TimePoint Now, BalancerActions &Out);

  /// The decision alone, as handle() takes it for a caller's packet.
  Steering steer(const CallerPacket &Packet, TimePoint Now);
  /// Brings the flow's cache entry closer. With a batch of packets at hand,
  /// call this for each before the first is handled.
  void prefetch(const CallerPacket &Packet) const;

  const SteerCounters &counters() const;
  /// Settings are known and the own zone is in.
  bool ready() const;
  /// Whether an internal packet or control message from this address is taken:
  /// it lies in the networks of a zone that is in.
  bool accepts(uint32_t Ip) const;
  uint64_t settingsVersion() const;
  /// The roster in force; nullptr when none is known.
  const Roster *roster(ServiceId Service) const;
  /// Versions in force, by "team/name" of the service.
  std::map<std::string, uint64_t> rosterVersions() const;
  /// The control address of an agent that is reachable, drawn by Draw among
  /// those that are known; nothing when the draw meets none.
  std::optional<Endpoint> drawPeer(uint64_t Draw) const;
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
