// A balancer's view of the agents: which exist, which are alive, and how many
// new flows each can take.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_DIRECTORY_H
#define DRAGONFLYSTALL_SRC_OPAQUE_DIRECTORY_H

#include "balancing/ejection.h"
#include "balancing/recentrequests.h"
#include "dragonflystall/clock.h"
#include "opaque/control.h"
#include "opaque/ranking.h"

#include <algorithm>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace dragonflystall::opaque {

/// Whether an agent in this state takes new flows.
constexpr bool takesFlows(Intake State) {
  return State == Intake::Open || State == Intake::Cold;
}

/// An agent as one balancer sees it.
struct Agent {
  AgentId Id = AgentId::None;
  AgentEntry Entry;
  /// The entry's revision in the store; not set when it is not listed there.
  StoreRevision Revision;
  /// Grows with each agent or changed entry that the balancer learns of.
  uint64_t Serial = 0;
  TimePoint FirstSeen{};
  /// Time of the last pong; the epoch if there was none.
  TimePoint LastPong{};
  Pong LastReport;
  /// SYNs sent to the agent since LastPong.
  uint32_t SynsSinceLastPong = 0;
  /// Of these, how many are still in progress.
  balancing::RecentRequests RecentSyns;
  /// SYNs that callers had to repeat since LastPong.
  uint32_t RepeatedSyns = 0;
  /// The agent is cold and has refused a new flow: it gets none before this.
  TimePoint PausedUntil{};
  /// Time of the first ping since LastPong; the epoch if there was none.
  TimePoint FirstUnansweredPing{};
  uint64_t LastPingNumber = 0;
  TimePoint LastPing{};
  /// Shortest recent time from a ping to its pong; zero if not known.
  Duration RoundTrip{};
  balancing::Ejection Ejection;
  /// Whether it gets probes only. Fewer agents are ejected than suspected if
  /// many are.
  bool IsEjected = false;
  bool WasEjected = false; ///< IsEjected when it was last logged.

  bool listed() const { return Revision.isSet(); }
  bool hasAnswered() const { return LastPong != TimePoint{}; }
  TimePoint lastSeen() const { return std::max(LastPong, FirstSeen); }
};

/// An entry in the store.
struct ListedAgent {
  AgentEntry Entry;
  StoreRevision Revision;
};

class Directory {
public:
  /// An agent that has not answered pings for this time is suspect and is not
  /// used while other agents answer: two ping intervals and a margin.
  static constexpr Duration SuspectAfter = 1200ms;
  /// The flows of an agent that has been silent for this time are given up, so
  /// that their callers can open new ones.
  static constexpr Duration GiveUpAfter = 5s;
  /// An agent that is not listed and has been silent for this time is removed
  /// from the directory.
  static constexpr Duration ForgetAfter = 2s;
  /// The store entry of an agent that has been silent for this time is removed
  /// from the store.
  static constexpr Duration RemoveAfter = 20s;

  Directory(std::string Zone, uint64_t Seed)
      : Zone_(std::move(Zone)), Rng_(Seed) {}

  /// Call when the store lists an agent with this entry and revision.
  void list(const AgentEntry &Entry, StoreRevision Revision, TimePoint Now);
  /// Call when the store no longer lists the agent. The agent stays in the
  /// directory for as long as it answers.
  void unlist(const std::string &Name);
  /// Call when the store lists exactly these agents.
  void listAll(const std::vector<ListedAgent> &Entries, TimePoint Now);
  /// Adds an agent that a peer or the agent itself has reported; it may not be
  /// listed in the store.
  void addUnlisted(const AgentEntry &Entry, TimePoint Now);
  void onPong(const Pong &Message, TimePoint Now);
  void onPingSent(Agent &Target, TimePoint Now, uint64_t Number = 0);
  /// Drops agents that are neither listed nor alive.
  void expire(TimePoint Now);

  Agent *find(AgentId Id);
  Agent *find(const std::string &Name);
  const std::map<std::string, std::unique_ptr<Agent>> &agents() const {
    return Agents_;
  }

  bool isSuspect(const Agent &Member, TimePoint Now) const {
    return silentFor(Member, Now) > SuspectAfter;
  }
  bool isGivenUp(const Agent &Member, TimePoint Now) const {
    return silentFor(Member, Now) > GiveUpAfter;
  }
  /// Whether the agent has answered before and is not suspect.
  bool isAnswering(const Agent &Member, TimePoint Now) const {
    return Member.hasAnswered() && !isSuspect(Member, Now);
  }
  /// Time since the first ping without an answer.
  static Duration silentFor(const Agent &Member, TimePoint Now) {
    return Member.FirstUnansweredPing == TimePoint{}
               ? Duration::zero()
               : Now - Member.FirstUnansweredPing;
  }
  /// The best agent of the service for a new flow, except the agents in Tried
  /// (see triedBit); nullptr if none is left.
  Agent *choose(const std::string &Service, uint32_t Tried, TimePoint Now);
  /// How choose() would rank the agents of the service now, for operators:
  /// changes no state and draws no random numbers.
  Ranking ranking(const std::string &Service, uint32_t Tried,
                  TimePoint Now) const;
  /// Upper bound of a random cost that keeps balancers with the same view from
  /// all choosing the same agent, as a share of all slots.
  static constexpr double JitterCost = 0.15;
  /// Call when a SYN is sent to an agent.
  void onSynSent(Agent &Target, TimePoint Now);
  /// The best agent of the service for a second opening of a flow, except the
  /// agents in Except and those in evacuated zones: one that has reported a
  /// free slot and is open and not ejected; nullptr if there is none.
  Agent *chooseWithRoom(const std::string &Service,
                        const std::vector<AgentId> &Except,
                        const Configuration &Config, TimePoint Now);
  /// See balancing::slownessOf.
  double slownessOf(const Agent &Member) const;
  /// The median work time of a service; zero if not known.
  Duration medianWorkOf(const std::string &Service) const;
  /// Number of agents that are ejected.
  size_t ejectedCount() const;
  /// Call when the agent at this address has refused a new flow.
  void onRefusal(const std::string &Service, Endpoint Packets, TimePoint Now);
  static uint32_t triedBit(const Agent &Member);
  /// All agents of a service.
  const std::vector<Agent *> &agentsOf(const std::string &Service) const;
  /// Whether some agent of a service takes new flows, or may take them once it
  /// has answered the first ping.
  bool canServe(const std::string &Service, TimePoint Now) const;
  /// When an agent of a service should have room: now if one is open, else when
  /// the next cold agent will be warm; std::nullopt if neither is known.
  std::optional<TimePoint> nextCapacityAt(const std::string &Service,
                                          TimePoint Now) const;
  /// Number of slots of all agents of a service, and of its open agents only.
  size_t slotsOf(const std::string &Service) const;
  size_t openSlotsOf(const std::string &Service, TimePoint Now) const;
  /// Number of answering agents of a service with cold upstreams. Ready: only
  /// those that are not pausing after a refusal.
  size_t coldAgentsOf(const std::string &Service, TimePoint Now,
                      bool Ready = false) const;
  /// Call when all entries as of this revision of the store are known.
  void onListedAsOf(StoreRevision Revision) {
    ListedAsOf_ = std::max(ListedAsOf_, Revision);
  }
  /// The greatest Agent::Serial so far.
  uint64_t newestSerial() const { return NewestSerial_; }
  /// The revision of the newest entry that the store has listed.
  StoreRevision newestEntry() const { return NewestEntry_; }
  /// Entries up to this revision are known, or have been removed.
  StoreRevision knownAsOf() const {
    return std::max(NewestEntry_, ListedAsOf_);
  }
  /// The greatest Pong::Rank of the answering agents; std::nullopt if none
  /// answers.
  std::optional<uint32_t> greatestRank(TimePoint Now) const;
  /// Listed agents whose entries should be removed: silent for RemoveAfter
  /// while other agents answer.
  std::vector<const Agent *> removable(TimePoint Now) const;

private:
  Agent &upsert(const AgentEntry &Entry, TimePoint Now);
  void erase(const std::string &Name);
  struct Comparison {
    balancing::ServiceLoad Service;
    TimePoint UpdatedAt{};
  };
  static constexpr Duration ComparisonInterval = 100ms;
  /// What a comparison of the upstreams of a service changes.
  struct ComparisonResult {
    balancing::ServiceLoad Service;
    std::vector<std::pair<Agent *, balancing::Ejection>> Compared;
    std::vector<Agent *> Ejected;
  };

  static balancing::UpstreamLoad loadOf(const Agent &Member);
  static bool isDue(const Comparison &Last, TimePoint Now) {
    return Now - Last.UpdatedAt >= ComparisonInterval;
  }
  /// Compares the upstreams of a service, and finds those to eject.
  ComparisonResult compare(const std::string &Service, TimePoint Now) const;
  /// Carries out a comparison if the last one was more than ComparisonInterval
  /// ago. The result is valid until the agents change.
  const balancing::ServiceLoad &updateComparison(const std::string &Service,
                                                 TimePoint Now);
  static std::vector<Agent *> ejectedOf(const ComparisonResult &Result);
  static void measureRoundTrip(Agent &Member, const Pong &Message,
                               TimePoint Now);
  PlacementCost costOf(const Agent &Candidate,
                       const balancing::ServiceLoad &Service,
                       TimePoint Now) const;
  /// The rank of an agent of the service for a new flow. All that decides on a
  /// choice is in the rank, except the jitter and the draw of probes.
  Rank rankOf(const Agent &Candidate, bool IsEjected, uint32_t Tried,
              TimePoint Now, const balancing::ServiceLoad &Service) const;
  void rebuild();

  std::string Zone_;
  Random Rng_;
  uint64_t NewestSerial_ = 0;
  StoreRevision NewestEntry_;
  StoreRevision ListedAsOf_;
  std::map<std::string, std::unique_ptr<Agent>> Agents_;
  // Indexes of Agents_; rebuild() updates them.
  std::unordered_map<AgentId, Agent *> ById_;
  std::map<std::string, std::vector<Agent *>> ByService_;
  std::map<std::string, Comparison> Comparisons_;
};

} // namespace dragonflystall::opaque

#endif
