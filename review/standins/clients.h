// Stand-ins for clients (consumers) and for the platform's routers.
#ifndef DRAGONFLYSTALL_REVIEW_STANDINS_CLIENTS_H
#define DRAGONFLYSTALL_REVIEW_STANDINS_CLIENTS_H

#include "packet.h"

#include <random>
#include <vector>

namespace review {

/// The routers: which balancer a flow's packets go to at the moment.
class Routers {
public:
  explicit Routers(Loop &Events) : Events_(Events) {}

  /// Adds a balancer; it is probed twice a second.
  void add(Address Packets, Address Ready);
  bool allReady() const;
  /// Time until the balancer is probed next.
  Duration untilProbe(Address Packets) const;
  /// The balancer of a flow, by a steady hash over those in rotation.
  std::optional<Address> balancerOf(const Flow &F) const;
  std::function<void(Address Packets, bool InRotation)> OnChange;

private:
  struct Node {
    Address Packets;
    Address Ready;
    int Misses = 2;
    TimePoint ProbedAt = now();
  };
  bool probe(size_t Index);

  Loop &Events_;
  std::vector<Node> Nodes_;
};

class Clients {
public:
  enum class Phase : uint8_t { Opening, Open, Waiting, Closed };
  enum class End : uint8_t {
    None,
    Done,    ///< Closed by both ends.
    Refused, ///< Reset before it was open.
    NoReply, ///< No SYN+ACK in time.
    Broken,  ///< Reset after it was open.
    Timeout, ///< No answer within the time limit.
  };

  /// A client's flow.
  struct Attempt {
    review::Flow Flow;
    TimePoint SentAt{}; ///< First SYN.
    Phase State = Phase::Opening;
    End Result = End::None;
    bool BrokenByServer = false;
    std::string Request; ///< The request in progress.
    std::string Answer;  ///< The last answer.
    size_t Answers = 0;
    TimePoint LastUsed{};
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  /// Called at each change of phase, and when the attempt has ended.
  using Listener = std::function<void(const AttemptPtr &)>;

  Clients(Loop &Events, Routers &Fabric, Address Local, Duration TimeLimit);

  /// Opens a flow to the route.
  AttemptPtr open(Address Route, Listener OnChange);
  /// Sends a request on an open flow.
  void request(const AttemptPtr &A, const std::string &Id);
  /// Closes an open flow.
  void close(const AttemptPtr &A);
  /// Problems with packets that arrived.
  std::vector<std::string> Notes;

private:
  struct Channel {
    AttemptPtr Shown;
    Listener OnChange;
    uint32_t Next = 0;     ///< Sequence of the client's next byte.
    uint32_t Expected = 0; ///< Sequence of the server's next byte.
    std::string Unacked;   ///< Last packet with data or FIN.
    uint32_t UnackedEnd = 0;
    bool ServerClosed = false;
    bool Closing = false;
    uint64_t Requests = 0;
  };

  void onPacket(std::string_view Bytes);
  void onReset(Channel &C, const Packet &P);
  void sendSyn(const Flow &F, uint32_t Copy);
  void retransmit(const Flow &F, uint32_t End, Duration Delay);
  void send(const Flow &F, const std::string &Bytes);
  void finish(const Flow &F, End Result);
  static Packet headFor(const Channel &C);

  Loop &Events_;
  Routers &Fabric_;
  Address Local_;
  Duration TimeLimit_;
  Udp Socket_;
  uint16_t LastPort_ = 20000;
  std::map<Flow, Channel> Channels_;
  std::mt19937 Rng_{std::random_device{}()};
};

} // namespace review

#endif
