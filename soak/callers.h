// A stand-in for the users' callers and the routers before the balancers:
// flows that are opened, used, kept open and closed, through paths that lose,
// repeat and delay packets.
#ifndef DRAGONFLYSTALL_SOAK_CALLERS_H
#define DRAGONFLYSTALL_SOAK_CALLERS_H

#include "node/services.h"
#include "shell/udpsocket.h"
#include "soak/rulechecker.h"

#include <list>
#include <map>

namespace dragonflystall::soak {

/// What became of requests.
struct Outcome {
  uint64_t Answered = 0;
  uint64_t Refused = 0;   ///< The flow was reset before it opened.
  uint64_t Unopened = 0;  ///< Nobody answered the SYNs.
  uint64_t BrokenOff = 0; ///< The open flow was reset.
  uint64_t Unanswered = 0;

  uint64_t failed() const {
    return Refused + Unopened + BrokenOff + Unanswered;
  }
};

/// Where a router may send packets.
struct BalancerTarget {
  Endpoint Packets;
  std::string Zone;
  bool InRotation = true;
  StabilityTracker Stability;
};

struct PathFaults {
  double Lost = 0;     ///< Share of packets.
  double Repeated = 0; ///< Share of packets.
  Duration Delay{};    ///< At most.
};

class Callers {
public:
  /// Callers at these addresses; all share the port. Throws
  /// std::runtime_error when one can't be bound.
  Callers(node::Services &Shared, RuleChecker &Checker,
          const std::vector<Endpoint> &Addresses, size_t Count);

  /// Parallel to the fronts of the deployment.
  std::deque<BalancerTarget> Balancers;
  std::vector<Endpoint> Routes;
  PathFaults Path;

  void tick(TimePoint Now);
  /// Counts since the last call.
  Outcome takeOutcome() { return std::exchange(Outcome_, {}); }

private:
  enum class Phase : uint8_t { Idle, Opening, Open, Waiting };

  struct Caller {
    size_t Address = 0;
    Phase At = Phase::Idle;
    opaque::FlowId Flow;
    uint32_t Sequence = 0;     ///< Of its next byte.
    uint32_t Acknowledged = 0; ///< Of the upstream's next byte.
    uint32_t Copies = 0;       ///< Of the SYN.
    uint32_t RequestsLeft = 0;
    uint64_t Request = 0;
    std::string Sent; ///< The request under way.
    TimePoint Next{}; ///< What is due next: a copy, or the next request.
    TimePoint Deadline{};
    Duration Interval{};
    /// The upstream closes the flow.
    bool Closing = false;
  };
  struct Transit {
    size_t Address;
    Endpoint To;
    std::string Bytes;
  };

  void open(Caller &C, TimePoint Now);
  void request(Caller &C, TimePoint Now);
  void resend(Caller &C, TimePoint Now);
  void finish(Caller &C, TimePoint Now);
  void close(Caller &C, TimePoint Now);
  void onPacket(size_t Address, std::string_view Bytes);
  void onReset(Caller &C, const opaque::PacketHead &Head, bool Underway,
               TimePoint Now);
  void onAnswer(Caller &C, const opaque::PacketHead &Head,
                std::string_view Payload, TimePoint Now);
  void sendSyn(Caller &C);
  void send(const Caller &C, const std::string &Bytes);
  opaque::PacketHead headOf(const Caller &C) const;
  BalancerTarget &balancerFor(const Caller &C);
  Duration pause();

  node::Services &Shared_;
  RuleChecker &Checker_;
  std::vector<Endpoint> Addresses_;
  std::list<Caller> Callers_;
  std::map<opaque::FlowId, Caller *> ByFlow_;
  std::vector<std::unique_ptr<UdpSocket>> Sockets_;
  std::list<node::ReadWatch> Watches_;
  std::multimap<TimePoint, Transit> Underway_;
  uint16_t LastPort_ = 1024;
  uint64_t LastRequest_ = 0;
  Outcome Outcome_;
};

} // namespace dragonflystall::soak

#endif
