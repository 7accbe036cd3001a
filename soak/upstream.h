// A stand-in for a users' upstream beside an agent: flows, heartbeats, starts
// and ends.
#ifndef DRAGONFLYSTALL_SOAK_UPSTREAM_H
#define DRAGONFLYSTALL_SOAK_UPSTREAM_H

#include "node/services.h"
#include "opaque/upstream.h"
#include "shell/http.h"
#include "shell/udpsocket.h"
#include "soak/rulechecker.h"

#include <set>

namespace dragonflystall::soak {

class Upstream {
public:
  static constexpr Duration HeartbeatInterval = 800ms;
  /// How long one is cold that starts while there is traffic.
  static constexpr Duration ColdLength = 2s;

  struct Addresses {
    Endpoint Packets;    ///< Where it takes packets, from its agent only.
    Endpoint Outbound;   ///< Where it sends its own.
    Endpoint Heartbeats; ///< Where it reports.
  };

  /// Throws std::runtime_error when the address can't be bound.
  Upstream(node::Services &Shared, RuleChecker &Checker, CheckedHost &Host,
           Addresses Where);

  /// A new start that knows nothing of before, cold for a while.
  void start(const std::string &Id, Duration ColdFor);
  void crash();
  /// It says that it leaves; see drained().
  void drain();
  /// It has said so long enough ago, or nobody heard it.
  bool drained(TimePoint Now) const;
  void leave();
  bool alive() const { return Alive_; }
  bool draining() const { return Beat_.Draining; }
  const std::string &id() const { return Beat_.Id; }
  void tick(TimePoint Now);

private:
  struct Flow {
    uint32_t Ours = 0;     ///< Sequence of our next byte.
    uint32_t Expected = 0; ///< Sequence of the caller's next byte.
    bool Open = false;
    bool Answering = false;
    std::string Answer; ///< The last packet of an answer, to send it again.
  };
  struct DueAnswer {
    opaque::FlowId Flow;
    std::string Payload;
  };

  void onPacket(std::string_view Bytes);
  void onSyn(const opaque::PacketHead &Head, TimePoint Now);
  void onUnknown(const opaque::PacketHead &Head, std::string_view Bytes);
  void onRequest(const opaque::FlowId &Id, Flow &F,
                 const opaque::PacketHead &Head, std::string_view Payload,
                 TimePoint Now);
  void onFin(const opaque::FlowId &Id, const Flow &F,
             const opaque::PacketHead &Head);
  void answer(const DueAnswer &Due);
  opaque::PacketHead headTo(const opaque::FlowId &Id, const Flow &F) const;
  void send(std::string_view Bytes);
  void beat(TimePoint Now);

  node::Services &Shared_;
  RuleChecker &Checker_;
  CheckedHost &Host_;
  Addresses Where_;
  std::unique_ptr<UdpSocket> Socket_;
  std::unique_ptr<node::ReadWatch> Watch_;
  HttpChannel Heartbeats_;
  bool Alive_ = false;
  opaque::Heartbeat Beat_;
  TimePoint ColdUntil_{};
  TimePoint NextBeat_{};
  TimePoint DrainAsked_{};
  std::map<opaque::FlowId, Flow> Flows_;
  std::set<opaque::FlowId> Ended_;
  std::multimap<TimePoint, DueAnswer> Due_;
};

} // namespace dragonflystall::soak

#endif
