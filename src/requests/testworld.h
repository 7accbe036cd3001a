// For tests: several agents' Requests, their upstreams, callers and the
// network between them, in virtual time, with faults drawn from one seed. It
// asserts what must always hold while it runs.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TESTWORLD_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TESTWORLD_H

#include "requests/testagent.h"
#include "types/check.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace dragonflystall {

/// Chances are in percent.
struct WorldFaults {
  unsigned Drop = 3;
  unsigned Duplicate = 5;
  unsigned LongDelay = 2;
  unsigned Shed = 3;
  unsigned Refused = 2;
  unsigned Broken = 3;
  unsigned Stuck = 2;
  unsigned Misrouted = 1;
  unsigned Disturbance = 2; ///< Restart, pause, hand-over or leave, by event.
};

/// What happened to one attempt: one body, sent with at most one ticket.
struct Attempt {
  uint32_t Runs = 0;
  bool SaidNotRun = false;
  bool SaidRan = false;
};

struct WorldReport {
  uint64_t Events = 0;
  uint64_t Runs = 0;
  uint64_t Ran = 0;
  uint64_t NotRun = 0;
  uint64_t MayHaveRun = 0;
  uint64_t Spilled = 0;
  uint64_t Signature = 0;
};

class World {
public:
  World(uint64_t Seed, WorldFaults Faults);
  void run(uint64_t Events);
  const WorldReport &report() const { return Report_; }

private:
  static constexpr size_t AgentCount = 4;
  static constexpr uint32_t Slots = 4;
  static constexpr uint16_t FlowCount = 24;
  static constexpr uint16_t FirstPort = 1000;

  struct Node {
    std::unique_ptr<TestAgent> Agent;
    uint64_t Start = 0;
    uint32_t AtUpstream = 0;
    bool Leaving = false;
    TimePoint PausedUntil;
    std::vector<PeerView> Seen;
    TimePoint SeenAt;
  };
  struct Caller {
    size_t Holder = 0;
    std::string Ticket;
    uint64_t NextToken = 0;
    bool Moving = false;
  };
  struct Asked {
    std::string Body; ///< Of the attempt.
    bool WithTicket = false;
    bool Post = false;
  };
  struct Later {
    TimePoint At;
    uint64_t Order;
    std::function<void()> Work;
    bool operator<(const Later &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };

  bool chance(unsigned Percent) { return Random_() % 100 < Percent; }
  Duration between(Duration Low, Duration High) {
    const auto Width = static_cast<uint64_t>((High - Low).count());
    return Low + Duration(static_cast<int64_t>(Random_() % Width));
  }
  void at(Duration After, std::function<void()> Work);
  /// Carries something over the network: dropped, delayed, doubled.
  void carry(const std::function<void()> &Work);

  void startAgent(size_t Index);
  using NodeEvent = std::function<void(TestAgent &, AgentActions &)>;
  void onNode(size_t Index, const NodeEvent &Event);
  void perform(size_t Index, const AgentActions &Actions);
  void runUpstream(size_t Index, const RunUpstream &Run);
  void endRun(size_t Index, uint64_t Start, RunId Run, UpstreamOutcome Outcome,
              const std::string &Body);
  void deliverPeer(const SendPeer &Sent);
  void deliverAnswer(const SendMessage &Sent);
  void judge(const Asked &Request, const Message &Answer);

  void callerActs();
  void sendRequest(uint16_t Flow, Message Request, Asked What);
  void sendTo(uint16_t Flow, const Message &Request);
  void disturb();
  void moveFlow(uint16_t Flow);
  void importAt(uint16_t Flow, size_t To, const wire::FlowState &State);
  std::vector<PeerView> viewsFor(size_t Index);
  void mix(uint64_t Value) {
    Report_.Signature = (Report_.Signature ^ Value) * 0x9e3779b97f4a7c15ULL + 1;
  }

  Random Random_;
  const WorldFaults Faults_;
  TimePoint Now_{1min};
  uint64_t Order_ = 0;
  std::priority_queue<Later> Later_;
  std::vector<Node> Nodes_;
  std::vector<Caller> Callers_;
  std::map<std::string, Attempt> Attempts_;
  /// By flow and token.
  std::map<std::pair<uint16_t, std::string>, Asked> Asked_;
  std::set<std::string> Used_; ///< Tickets.
  uint64_t NextBody_ = 0;
  uint16_t NextMessageId_ = 1;
  uint64_t NextStart_ = 1;
  WorldReport Report_;
};

} // namespace dragonflystall

#endif
