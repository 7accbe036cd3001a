// Simulates the users' callers and the routers in front of the balancers. The
// callers open, use, keep open and close flows over paths that lose, duplicate
// and delay packets.
#ifndef DRAGONFLYSTALL_SOAK_CALLERS_H
#define DRAGONFLYSTALL_SOAK_CALLERS_H

#include "node/services.h"
#include "shell/udpsocket.h"
#include "soak/rulechecker.h"

#include <list>
#include <map>

namespace dragonflystall::soak {

/// Number of requests by outcome.
struct Outcome {
  uint64_t Answered = 0;
  uint64_t Busy = 0;       ///< The upstream had no room for the request.
  uint64_t Refused = 0;    ///< The flow was reset before it was established.
  uint64_t NotOpened = 0;  ///< No SYN of the flow was answered.
  uint64_t BrokenOff = 0;  ///< The established flow was reset.
  uint64_t Unanswered = 0; ///< No answer came before the deadline.

  uint64_t failed() const {
    return Busy + Refused + NotOpened + BrokenOff + Unanswered;
  }
  ServedShare share() const { return {Answered, Answered + failed()}; }
};

/// A balancer to which the routers may send packets.
struct BalancerTarget {
  Endpoint Packets;
  std::string Zone;
  bool InRotation = true;
  StabilityTracker Stability;
};

/// Faults of the paths between callers and balancers.
struct PathFaults {
  double LossRate = 0;        ///< Share of packets.
  double DuplicationRate = 0; ///< Share of packets.
  Duration MaxDelay{};        ///< Upper bound of the random delay.
};

/// A kind of requests.
struct RequestClass {
  Endpoint Route;
  /// Number of requests of a long flow; 1 if each request has its own flow.
  uint32_t RequestsPerFlow = 1;
  Duration Timeout{};
};

class Callers {
public:
  /// Distributes Count callers over the addresses, which all have the same
  /// port. Throws std::runtime_error if an address cannot be bound.
  Callers(node::Services &Shared, RuleChecker &Checker,
          const std::vector<Endpoint> &Addresses, size_t Count);

  /// In the order of the deployment's balancers.
  std::deque<BalancerTarget> Balancers;
  std::vector<RequestClass> Classes;
  PathFaults Path;

  void tick(TimePoint Now);
  /// Returns the counts since the last call.
  Outcome takeOutcome() { return std::exchange(Outcome_, {}); }
  /// Adds callers that send requests of one class, about one per second each,
  /// however long the answers take.
  void addSurge(size_t Class, size_t Count);
  /// Ends the callers of all surges.
  void endSurge();
  /// Forgets what was measured, and measures requests that begin between the
  /// two times.
  void measure(TimePoint From, TimePoint Until);
  /// The requests of a class that were measured and have ended.
  const Outcome &measured(size_t Class) { return Measured_[Class]; }
  /// The same for all classes.
  ServedShare measuredShare() const;

private:
  enum class CallerState : uint8_t { Idle, Opening, Open, Waiting };

  struct Caller {
    size_t Address = 0;
    std::optional<size_t> SurgeClass; ///< Set for callers of a surge.
    size_t Class = 0;                 ///< Of the flow's requests.
    TimePoint Begun{};                ///< Of the pending request.
    CallerState State = CallerState::Idle;
    opaque::FlowId Flow;
    uint32_t Sequence = 0;     ///< Of the caller's next byte.
    uint32_t Acknowledged = 0; ///< Of the upstream's next byte.
    uint32_t SynRetries = 0;   ///< Number of repeated SYNs.
    uint32_t RequestsLeft = 0;
    uint64_t RequestId = 0;
    std::string RequestPacket; ///< The packet of the pending request.
    TimePoint NextSend{};      ///< When the next new or repeated packet is due.
    TimePoint Deadline{};
    Duration ResendInterval{};
    /// Whether the upstream has sent a FIN.
    bool Closing = false;
  };
  struct DelayedPacket {
    size_t Address;
    Endpoint To;
    std::string Bytes;
  };

  Caller &add(TimePoint FirstSend);
  /// Counts the end of the pending request.
  void record(const Caller &Client, uint64_t Outcome::*Result);
  void open(Caller &Client, TimePoint Now);
  void request(Caller &Client, TimePoint Now);
  void resend(Caller &Client, TimePoint Now);
  void finish(Caller &Client, TimePoint Now);
  void close(Caller &Client, TimePoint Now);
  void onPacket(size_t Address, std::string_view Bytes);
  void onReset(Caller &Client, const opaque::PacketHead &Head,
               bool GeneratedInTransit, TimePoint Now);
  void onAnswer(Caller &Client, const opaque::PacketHead &Head,
                std::string_view Payload, TimePoint Now);
  void sendSyn(Caller &Client);
  void send(const Caller &Client, const std::string &Bytes);
  opaque::PacketHead headFor(const Caller &Client) const;
  BalancerTarget &balancerFor(const Caller &Client);
  /// When the caller begins its next request.
  TimePoint nextRequest(const Caller &Client, TimePoint Now);

  node::Services &Shared_;
  RuleChecker &Checker_;
  std::vector<Endpoint> Addresses_;
  std::list<Caller> Callers_;
  std::map<opaque::FlowId, Caller *> ByFlow_;
  std::vector<std::unique_ptr<UdpSocket>> Sockets_;
  std::list<node::ReadWatch> Watches_;
  std::multimap<TimePoint, DelayedPacket> InTransit_;
  uint16_t LastPort_ = 1024;
  uint64_t LastRequestId_ = 0;
  Outcome Outcome_;
  std::map<size_t, Outcome> Measured_; ///< By class.
  TimePoint MeasuredFrom_{};
  TimePoint MeasuredUntil_{};
};

} // namespace dragonflystall::soak

#endif
