// Simulates a users' upstream on a host with an agent: its flows, heartbeats,
// starts, drains and crashes.
#ifndef DRAGONFLYSTALL_SOAK_UPSTREAM_H
#define DRAGONFLYSTALL_SOAK_UPSTREAM_H

#include "node/services.h"
#include "opaque/upstream.h"
#include "shell/http.h"
#include "shell/udpsocket.h"
#include "soak/rulechecker.h"

#include <set>

namespace dragonflystall::soak {

/// Takes packets from the agent on its host. Works on one request for each of
/// its slots, queues a few more, and answers that it is busy beyond that.
class Upstream {
public:
  static constexpr Duration HeartbeatInterval = 800ms;
  /// Cold start of an upstream that starts during traffic.
  static constexpr Duration ColdLength = 2s;
  static constexpr uint32_t DefaultSlots = 2;
  static constexpr int SlowFactor = 3;

  struct Addresses {
    Endpoint Packets;    ///< Receives packets from its agent only.
    Endpoint Outbound;   ///< Destination of its packets.
    Endpoint Heartbeats; ///< Destination of its heartbeats.
  };

  /// Throws std::runtime_error if the address cannot be bound.
  Upstream(node::Services &Shared, RuleChecker &Checker, CheckedHost &Host,
           Addresses Given);

  /// Starts without any flows, with a cold start of the given length.
  void start(const std::string &Id, Duration ColdFor);
  /// Becomes cold without a start, and keeps its flows.
  void becomeCold(Duration Length);
  /// Stops at once and loses all flows.
  void crash();
  /// Announces a drain in the heartbeats; see drained().
  void drain();
  /// Whether the acknowledgement of the drain is long enough ago for the
  /// upstream to leave, or the wait for one has timed out.
  bool drained(TimePoint Now) const;
  /// Stops and sends the agent a leave call.
  void leave();
  /// Changes the number of slots until the next start.
  void setSlots(uint32_t Slots) { Heartbeat_.Slots = Slots; }
  /// Until then, work takes SlowFactor times as long.
  void slowDown(TimePoint Until) { SlowUntil_ = Until; }
  bool alive() const { return Alive_; }
  bool draining() const { return Heartbeat_.Draining; }
  const std::string &id() const { return Heartbeat_.Id; }
  void tick(TimePoint Now);

private:
  struct Flow {
    uint32_t NextSequence = 0;     ///< Sequence of the upstream's next byte.
    uint32_t ExpectedSequence = 0; ///< Sequence of the caller's next byte.
    bool Established = false;
    bool AnswerPending = false;
    std::string Answer; ///< Last answer packet, kept to be sent again.
  };
  /// The answer to a request that the upstream works on or has queued.
  struct PendingAnswer {
    opaque::FlowId Flow;
    std::string Payload;
  };

  void onPacket(std::string_view Bytes);
  void onSyn(const opaque::PacketHead &Head, TimePoint Now);
  void onUnknownFlow(const opaque::PacketHead &Head, std::string_view Bytes);
  void onRequest(const opaque::FlowId &Id, Flow &State,
                 const opaque::PacketHead &Head, std::string_view Payload,
                 TimePoint Now);
  void onFin(const opaque::FlowId &Id, const Flow &State,
             const opaque::PacketHead &Head);
  /// Begins the work on queued requests for which there are slots.
  void beginWork(TimePoint Now);
  void answer(const PendingAnswer &Due);
  opaque::PacketHead headTo(const opaque::FlowId &Id, const Flow &State) const;
  void send(std::string_view Bytes);
  void sendHeartbeat(TimePoint Now);
  void listenForHealthChecks();

  node::Services &Shared_;
  RuleChecker &Checker_;
  CheckedHost &Host_;
  Addresses Addresses_;
  std::unique_ptr<UdpSocket> Socket_;
  std::unique_ptr<node::ReadWatch> Watch_;
  HttpChannel HeartbeatChannel_;
  /// Listens on TCP for as long as the upstream runs.
  std::unique_ptr<HttpServer> HealthServer_;
  bool Alive_ = false;
  opaque::Heartbeat Heartbeat_;
  TimePoint ColdUntil_{};
  TimePoint NextHeartbeat_{};
  TimePoint DrainStarted_{};
  TimePoint SlowUntil_{};
  std::map<opaque::FlowId, Flow> Flows_;
  std::set<opaque::FlowId> ClosedFlows_;
  std::multimap<TimePoint, PendingAnswer> PendingAnswers_;
  std::deque<PendingAnswer> Queue_;
};

} // namespace dragonflystall::soak

#endif
