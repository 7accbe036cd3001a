// Stand-in for a server (target) beside an agent: flows, requests, heartbeats.
#ifndef DRAGONFLYSTALL_REVIEW_STANDINS_SERVER_H
#define DRAGONFLYSTALL_REVIEW_STANDINS_SERVER_H

#include "packet.h"

#include <random>
#include <set>

namespace review {

class Server {
public:
  struct Addresses {
    Address App;       ///< Packets and health probes.
    Address Outbound;  ///< Where its packets go.
    Address Heartbeat; ///< Where its heartbeats go.
  };
  /// What the server reports of itself at its start.
  struct Identity {
    std::string Id;
    std::string Service;
    std::string Zone;
    int64_t Born = 0; ///< Unix milliseconds by its machine's clock.
    Duration ColdFor{};
  };
  struct Callbacks {
    /// A SYN of a new flow was taken.
    std::function<void(const Server &, const Flow &)> OnOpening;
    /// A flow is open: the end of the handshake has arrived.
    std::function<void(const Server &, const Flow &)> OnOpen;
    /// A request begins to run.
    std::function<void(const Server &, const Flow &, const std::string &Id)>
        OnRun;
    /// A flow was closed by both ends.
    std::function<void(const Server &, const Flow &)> OnClosed;
    std::function<void(const Server &, const std::string &What)> OnNote;
  };

  Server(Loop &Events, Addresses Given, Duration HeartbeatInterval,
         Callbacks Notify);
  ~Server();

  /// Starts without flows; sends the first heartbeat at once.
  void start(const Identity &Self);
  /// Ends at once; its flows are lost.
  void crash();
  /// Announces that it leaves; keeps its flows and takes new ones.
  void drain();
  /// Says that it leaves and ends.
  void leave();

  bool running() const { return Health_ != nullptr; }
  bool holds(const Flow &F) const {
    const auto It = Flows_.find(F);
    return It != Flows_.end() && It->second.Open;
  }
  const Identity &identity() const { return Self_; }
  uint64_t acknowledgedHeartbeats() const { return AckedBeats_; }

private:
  struct State {
    uint32_t Next = 0;     ///< Sequence of the server's next byte.
    uint32_t Expected = 0; ///< Sequence of the client's next byte.
    bool Open = false;
    bool ClosedByUs = false;
    std::string Unacked; ///< Last packet with data or FIN, until acknowledged.
    uint32_t UnackedEnd = 0;
    int Retransmissions = 0;
  };

  void onPacket(std::string_view Bytes);
  void onSyn(const Packet &P);
  void onData(const Flow &F, const Packet &P);
  void onFin(const Flow &F, const Packet &P);
  void onUnknown(const Packet &P);
  void bounce(Packet P);
  void answer(const Flow &F, const std::string &Payload);
  void retransmit(const Flow &F, uint32_t End, Duration Delay);
  Packet headTo(const Flow &F, const State &S) const;
  void send(const Packet &P) const;
  void beat();
  std::string note(const Flow &F) const;

  Loop &Events_;
  Addresses Given_;
  Duration HeartbeatInterval_;
  Callbacks Notify_;
  std::unique_ptr<Udp> Socket_;
  std::unique_ptr<HttpServer> Health_;
  Identity Self_;
  bool Draining_ = false;
  TimePoint ColdUntil_{};
  uint64_t Boot_ = 0; ///< Timers of an earlier start do nothing.
  uint64_t Sequence_ = 0;
  uint64_t AckedBeats_ = 0;
  std::optional<TimePoint> DrainAcked_;
  std::map<Flow, State> Flows_;
  std::set<Flow> Ended_;
  std::mt19937 Rng_{std::random_device{}()};
};

} // namespace review

#endif
