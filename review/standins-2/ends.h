// Stand-ins for the two ends of flows: targets beside agents, and consumers
// whose packets the routers hand to balancers. Both follow PROTOCOL.md.
#ifndef REVIEW_STANDINS_2_ENDS_H
#define REVIEW_STANDINS_2_ENDS_H

#include "node/services.h"
#include "opaque/upstream.h"
#include "shell/http.h"
#include "shell/udpsocket.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

using namespace dragonflystall;

/// Writes a line to the record of the run.
using Recorder = std::function<void(const std::string &Line)>;

/// The first SYN of a flow that a target gets.
struct Opening {
  opaque::FlowId Flow;
  TimePoint Arrived{};
  bool Cold = false;
};

class Target {
public:
  struct Place {
    std::string Name;
    std::string Service;
    std::string Zone;
    Endpoint App;      ///< Packets and health probes.
    Endpoint Outbound; ///< Of the agent on the same machine.
    Endpoint Control;  ///< The same, for heartbeats.
  };

  Target(node::Services &Shared, Recorder Record, Place Where);

  /// Starts without flows. ColdFor: how long it is cold.
  void start(const std::string &Id, Duration ColdFor);
  /// Says in its heartbeats that it is draining.
  void drain();
  /// Sends the leave call and exits.
  void leave();
  /// Exits without a word.
  void crash();
  /// A partition holds up the next heartbeat; releaseHeartbeat() lets it
  /// arrive, whatever has become of its sender.
  void holdHeartbeat() { HoldNext_ = true; }
  void releaseHeartbeat();
  const std::vector<Opening> &openings() const { return Openings_; }
  /// Becomes cold without a new start.
  void becomeCold(Duration ColdFor) { ColdUntil_ = Shared_.now() + ColdFor; }
  bool isAlive() const { return Alive_; }
  /// Whether a heartbeat that said "draining" was acknowledged.
  bool isDrainAcknowledged() const { return DrainAcknowledged_; }
  const std::string &id() const { return Beat_.Id; }
  const Place &place() const { return Where_; }
  /// Whether it holds the flow, with the handshake ended.
  bool holds(const opaque::FlowId &Flow) const;
  void tick(TimePoint Now);

  static constexpr Duration HeartbeatInterval = 770ms;

private:
  struct Flow {
    uint32_t Own = 0;   ///< Sequence number of the target's next byte.
    uint32_t Other = 0; ///< The same of the consumer.
    bool Open = false;
    std::string Answer; ///< The last one, to be sent again.
  };
  struct Work {
    opaque::FlowId Flow;
    std::string Request;
  };

  void onPacket(std::string_view Bytes);
  void onSyn(const opaque::PacketHead &Head);
  void onData(const opaque::FlowId &Id, Flow &State,
              const opaque::PacketHead &Head, std::string_view Payload);
  void answer(const Work &Done);
  void end();
  void sendHeartbeat(TimePoint Now);
  opaque::PacketHead headOf(const opaque::FlowId &Id, const Flow &State) const;
  void send(std::string_view Bytes) { Socket_->send(Where_.Outbound, Bytes); }

  node::Services &Shared_;
  Recorder Record_;
  Place Where_;
  std::unique_ptr<UdpSocket> Socket_;
  std::unique_ptr<node::ReadWatch> Watch_;
  std::unique_ptr<HttpServer> Health_;
  HttpChannel Heartbeats_;
  HttpChannel LateCalls_;
  bool HoldNext_ = false;
  std::optional<HttpRequest> Held_;
  std::vector<Opening> Openings_;
  opaque::Heartbeat Beat_;
  bool Alive_ = false;
  bool DrainAcknowledged_ = false;
  TimePoint ColdUntil_{};
  TimePoint NextBeat_{};
  std::map<opaque::FlowId, Flow> Flows_;
  std::set<opaque::FlowId> Ended_;
  std::multimap<TimePoint, Work> Works_;
};

/// What a consumer has seen of one request.
struct Request {
  uint64_t Id = 0;
  opaque::FlowId Flow;
  TimePoint Sent{}; ///< For a new flow, its SYN.
  enum class End : uint8_t { None, Answered, Refused, Reset, Silent } How{};
};

/// Consumers behind one address: short flows with one request each, and long
/// ones that stay open.
class Consumers {
public:
  Consumers(node::Services &Shared, Recorder Record, Endpoint Address,
            uint16_t FirstPort = 2000);

  /// Opens a flow through a balancer and sends one request on it. Long: the
  /// flow stays open. Returns the request's id.
  uint64_t open(Endpoint Route, Endpoint Balancer, bool Long);
  /// Sends a further request on an open long flow, by the id of the request
  /// that opened it. Returns the new request's id; 0 if the flow is not open.
  uint64_t ask(uint64_t Opener, Endpoint Balancer);
  void tick(TimePoint Now);

  const std::map<uint64_t, Request> &requests() const { return Requests_; }
  /// The flow of a request.
  const opaque::FlowId &flowOf(uint64_t Id) const {
    return Requests_.at(Id).Flow;
  }
  /// The request that opened a flow; nullptr if there is none.
  const Request *requestOn(const opaque::FlowId &Flow) const;
  /// Resets without a target's checksum that open flows have accepted.
  uint64_t foreignResets() const { return ForeignResets_; }

  static constexpr Duration TimeLimit = 2s;

private:
  enum class State : uint8_t { Opening, Waiting, Idle, Closed };
  struct Client {
    uint64_t Opener = 0;
    uint64_t Current = 0;
    opaque::FlowId Flow;
    Endpoint Balancer;
    bool Long = false;
    State Now = State::Opening;
    uint32_t Own = 0;
    uint32_t Other = 0;
    uint32_t Copies = 0;
    std::string Packet; ///< The pending request's.
    TimePoint NextSend{};
    TimePoint Deadline{};
    Duration Interval{};
  };

  void onPacket(std::string_view Bytes);
  void sendSyn(Client &C);
  void sendRequest(Client &C, TimePoint Now);
  void close(Client &C);
  void end(Client &C, Request::End How);
  void send(const Client &C, std::string_view Bytes) {
    Socket_->send(C.Balancer, Bytes);
  }

  node::Services &Shared_;
  Recorder Record_;
  Endpoint Address_;
  uint16_t NextPort_;
  std::unique_ptr<UdpSocket> Socket_;
  std::unique_ptr<node::ReadWatch> Watch_;
  std::map<opaque::FlowId, Client> Clients_;
  std::map<uint64_t, Request> Requests_;
  uint64_t LastId_ = 0;
  uint64_t ForeignResets_ = 0;
};

} // namespace review

#endif
