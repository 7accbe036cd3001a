// Test support: a simulation in virtual time of several agents' Requests with
// their upstreams, callers and network. Faults are drawn from one seed, and the
// invariants are checked throughout the run.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TESTWORLD_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TESTWORLD_H

#include "requests/testagent.h"
#include "requests/testhedgeoracle.h"
#include "types/check.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace dragonflystall {

/// The probability of each fault, in percent.
struct WorldFaults {
  unsigned Drop = 3;
  unsigned Duplicate = 5;
  unsigned LongDelay = 2;
  unsigned Shed = 3;
  unsigned Refused = 2;
  unsigned ConnectionLost = 3;
  unsigned NoAnswer = 2;
  unsigned Misrouted = 1;
  unsigned AgentFault = 2; ///< Restart, pause, leave or hand-over.

  /// The share of requests that are not idempotent, in percent.
  unsigned Post = 70;
  Duration LongestPause = 20s;
  /// Between two requests of all callers.
  Duration LongestInterval = 20ms;
  Duration LatestRetransmission = 4s;
  /// Hedging is on and its limit changes now and then. Some runs are slow, and
  /// the promises of hedging are checked.
  bool IsHedging = false;
};

/// Faults under which hedges are frequent and every execution can be told from
/// a repetition: messages are never older than the records of duplicates.
inline WorldFaults hedgingFaults() {
  WorldFaults Faults;
  Faults.LongDelay = 0;
  Faults.Misrouted = 0;
  Faults.Shed = 4;
  Faults.Refused = 2;
  Faults.ConnectionLost = 6;
  Faults.NoAnswer = 0;
  Faults.Post = 20;
  Faults.LongestPause = 1s;
  Faults.LongestInterval = 60ms;
  Faults.LatestRetransmission = 500ms;
  Faults.IsHedging = true;
  return Faults;
}

/// The executions and verdicts of one attempt: one body, sent with at most one
/// ticket.
struct Attempt {
  uint32_t Runs = 0;
  bool AnsweredNotRun = false;
  bool AnsweredRan = false;
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
  const HedgeOracle &hedging() const { return Hedging_; }

private:
  static constexpr size_t AgentCount = 4;
  static constexpr uint32_t Slots = 4;
  static constexpr uint16_t FlowCount = 24;
  static constexpr uint16_t FirstPort = 1000;

  struct Node {
    std::unique_ptr<TestAgent> Agent;
    uint64_t Start = 0;
    uint32_t RunsAtUpstream = 0;
    bool Leaving = false;
    TimePoint PausedUntil;
    std::vector<PeerView> PeerViews;
    TimePoint PeerViewsAt;
  };
  struct Caller {
    size_t Holder = 0;
    std::string Ticket;
    uint64_t NextToken = 0;
    bool Moving = false;
  };
  struct SentRequest {
    std::string Body; ///< Identifies the attempt.
    bool WithTicket = false;
    bool Post = false;
  };
  struct ScheduledEvent {
    TimePoint At;
    uint64_t Order;
    std::function<void()> Work;
    bool operator<(const ScheduledEvent &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };

  bool chance(unsigned Percent) { return Random_() % 100 < Percent; }
  Duration between(Duration Low, Duration High) {
    const auto Width = static_cast<uint64_t>((High - Low).count());
    return Low + Duration(static_cast<int64_t>(Random_() % Width));
  }
  void schedule(Duration After, std::function<void()> Work);
  /// Sends over the network, which may drop, delay or duplicate.
  void transmit(const std::function<void()> &Work);

  void startAgent(size_t Index);
  using NodeEvent = std::function<void(TestAgent &, AgentActions &)>;
  void onNode(size_t Index, const NodeEvent &Event);
  void perform(size_t Index, const AgentActions &Actions);
  void runUpstream(size_t Index, const RunUpstream &Run);
  void observe(size_t Index, const AgentAction &Action);
  void changeHedgePercent(size_t Index);
  void endRun(size_t Index, uint64_t Start, RunId Run, UpstreamOutcome Outcome,
              const std::string &Body);
  void deliverPeer(const SendPeer &Sent);
  void deliverAnswer(const SendMessage &Sent);
  void checkAnswer(const SentRequest &Request, const Message &Answer);

  void sendNextRequest();
  void sendRequest(uint16_t Flow, Message Request, SentRequest Sent);
  void sendTo(uint16_t Flow, const Message &Request);
  void injectFault();
  void moveFlow(uint16_t Flow);
  void importAt(uint16_t Flow, size_t To, const wire::FlowState &State);
  std::vector<PeerView> viewsFor(size_t Index);
  void addToSignature(uint64_t Value) {
    Report_.Signature = (Report_.Signature ^ Value) * 0x9e3779b97f4a7c15ULL + 1;
  }

  Random Random_;
  const WorldFaults Faults_;
  TimePoint Now_{1min};
  uint64_t Order_ = 0;
  std::priority_queue<ScheduledEvent> ScheduledEvents_;
  std::vector<Node> Nodes_;
  std::vector<Caller> Callers_;
  std::map<std::string, Attempt> Attempts_;
  /// The requests that callers sent, by flow and token.
  std::map<std::pair<uint16_t, std::string>, SentRequest> SentRequests_;
  std::set<std::string> UsedTickets_;
  uint64_t NextBody_ = 0;
  uint16_t NextMessageId_ = 1;
  uint64_t NextStart_ = 1;
  WorldReport Report_;
  HedgeOracle Hedging_;
  uint64_t LastStartedJob_ = 0; ///< In the order of the actions.
};

} // namespace dragonflystall

#endif
