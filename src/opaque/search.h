// Search for the holder of a flow that is not in the balancer's cache: the
// balancer queries all agents of the route's services at once and holds the
// caller's packets until the answers arrive, one round trip later.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_SEARCH_H
#define DRAGONFLYSTALL_SRC_OPAQUE_SEARCH_H

#include "opaque/directory.h"

namespace dragonflystall::opaque {

/// The search for the holder of one flow.
struct Search {
  FlowId Flow;
  /// The services that the route names, and those that it named before.
  std::vector<std::string> Services;
  TimePoint Started{};
  /// Agents of Services up to this serial number were considered; see
  /// Agent::Serial.
  uint64_t QueriedUpTo = 0;
  /// Agents that have not answered.
  std::vector<AgentId> AwaitedAgents;
  /// Agents that can't tell whether they hold the flow: they are offered a
  /// packet once no more answers are awaited.
  std::vector<AgentId> UnsureAgents;
  /// Agents that were offered a packet and have not returned it.
  std::vector<AgentId> OfferedAgents;
  /// Whether an agent that may hold the flow could not be queried.
  bool Incomplete = false;
  /// Whether the agents of all other services were queried as well.
  bool Widened = false;
  /// All queried agents have denied the flow; a read of the store is to confirm
  /// that there are no others.
  bool AwaitsRead = false;
  size_t Offers = 0;            ///< Number of packets offered to unsure agents.
  StoreRevision ReportedEntry;  ///< The greatest Located::NewestEntry.
  int64_t ReportedManifest = 0; ///< The greatest Located::NewestManifest.
  /// The smallest Located::SettledEra that is known; 0 if none is.
  int64_t ReportedEra = 0;
  std::vector<HeldPacket> HeldPackets;

  bool isDenied() const {
    return AwaitedAgents.empty() && UnsureAgents.empty() &&
           OfferedAgents.empty();
  }
};

class Searches {
public:
  /// A search without a result ends after this time; the caller's next packet
  /// starts a new one.
  static constexpr Duration SearchTimeout = 600ms;
  static constexpr size_t MaxSearches = 512;
  /// Agents that can't tell are offered a packet after this time even if others
  /// have not answered: a round trip to the farthest agent and a margin.
  static constexpr Duration OfferDelay = 40ms;
  /// Limit on held packets per search: what a caller may have in flight.
  static constexpr size_t MaxHeldPackets = 16;

  Search *find(uint64_t Hash);
  /// Returns nullptr if MaxSearches are in progress.
  Search *start(const FlowId &Flow, std::vector<std::string> Services,
                const Directory &Agents, TimePoint Now);
  /// Adds the agents of all other services to those whose answers are awaited.
  /// Beyond MaxWidened agents, it adds none, and the search stays incomplete.
  static void widen(Search &Pending, const Directory &Agents, TimePoint Now);
  static constexpr size_t MaxWidened = 512;
  /// Adds agents that the balancer has learned of since the last ones were
  /// added.
  static void addNew(Search &Pending, const Directory &Agents, TimePoint Now);
  /// Holds a packet; drops the oldest one if the limit is reached.
  static void hold(Search &Pending, const PacketHead &Head,
                   std::string_view Bytes);
  void erase(uint64_t Hash) { Searches_.erase(Hash); }
  /// Removes searches older than SearchTimeout and returns them.
  std::vector<Search> expire(TimePoint Now);
  /// Searches older than OfferDelay.
  std::vector<Search *> overdue(TimePoint Now);
  /// Searches with AwaitsRead.
  std::vector<Search *> awaitingRead();
  /// Stops waiting for agents that had no upstream at their last report. They
  /// are asked nevertheless, since an upstream may have started.
  static void waiveEnded(Search &Pending, Directory &Agents);
  size_t size() const { return Searches_.size(); }

private:
  static void await(Search &Pending, const Agent &Candidate,
                    const Directory &Agents, TimePoint Now);

  std::unordered_map<uint64_t, Search> Searches_;
};

} // namespace dragonflystall::opaque

#endif
