// The balancer's core for opaque flows: where each packet goes. It does no I/O
// and keeps nothing that it can't lose: the upstreams hold the flows, and a
// flow that is not in the cache is looked for.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_STEERING_H
#define DRAGONFLYSTALL_SRC_OPAQUE_STEERING_H

#include "opaque/openqueue.h"
#include "opaque/search.h"
#include "opaque/trail.h"
#include "steering/flowcache.h"

namespace dragonflystall::opaque {

/// Why a packet went where it did.
enum class SteerReason : uint8_t {
  Placed,      ///< A new flow, to the best agent.
  PlacedAgain, ///< A new flow that another agent did not take.
  Held,        ///< To the holder in the cache.
  Queued,      ///< A new flow that waits until an upstream has room.
  Asked,       ///< It waits until the agents have said who holds it.
  Found,       ///< To the holder that was just found.
  Offered,     ///< To an agent that can't tell whether its upstream holds it.
  NoManifest,  ///< Nothing is known yet.
  NoRoute,     ///< No such route.
  NoUpstream,  ///< No agent is left that could take the flow.
  QueueFull,   ///< Enough new flows wait for the service.
  NotFound,    ///< All agents of the service deny the flow.
  Lost,        ///< Not found, but not everybody has answered.
  Stray,       ///< Not a caller's packet.
};
constexpr std::array<std::string_view, 14> SteerReasonNames = {
    "placed",     "placed-again", "held",        "queued",   "asked",
    "found",      "offered",      "no-manifest", "no-route", "no-upstream",
    "queue-full", "not-found",    "lost",        "stray"};
constexpr std::string_view name(SteerReason R) {
  return SteerReasonNames[static_cast<size_t>(R)];
}

/// What is to become of one packet.
struct SteerAction {
  enum class Kind : uint8_t {
    Forward, ///< Send it to the agent.
    Ask,     ///< Send Find to all of Asked; the packet waits in the core.
    Reset,   ///< Send the caller a reset.
    Drop,
  };

  Kind What = Kind::Drop;
  SteerReason Why = SteerReason::Stray;
  const Agent *To = nullptr;
  Trail Way;
  /// Reset: one that the caller takes for its own flow.
  uint32_t ResetSequence = 0;
  std::vector<const Agent *> Asked;
  /// Lost: agents that have not answered, and whether all agents were known.
  size_t Unanswered = 0;
  bool AllKnown = false;
};

/// An action on a packet that has waited.
struct LateAction {
  SteerAction Action;
  HeldPacket Packet;
};

class Steering {
public:
  Steering(const Configuration &Config, Directory &Agents, size_t CachedFlows,
           TimePoint Started)
      : Config_(Config), Agents_(Agents), Cache_(CachedFlows),
        Started_(Started) {}

  /// Starts to bring the flow's cache entry close: call for each packet of a
  /// batch before the first is steered.
  void prefetch(const PacketHead &Head) const {
    Cache_.prefetch(hashOf(Head.fromCaller()));
  }
  /// A caller's packet.
  SteerAction fromCaller(const PacketHead &Head, std::string_view Bytes,
                         TimePoint Now);
  /// A packet that an agent returned. From: the agent's address.
  SteerAction returned(const PacketHead &Head, std::string_view Bytes,
                       Endpoint From, TimePoint Now);
  std::vector<LateAction> onLocated(const Located &Message, TimePoint Now);
  /// Call regularly: ages the cache and ends searches.
  std::vector<LateAction> tick(TimePoint Now);
  /// The list of agents was read from the store in full: before that, that
  /// all known agents deny a flow proves nothing.
  void onAgentsListed(TimePoint Now);
  /// A peer has told of the agents that it knows, listed or not.
  void onPeerHeard() { PeerHeard_ = true; }

  size_t queuedFlows() const { return Queue_.size(); }
  size_t cachedFlows() const { return Cache_.size(); }

private:
  SteerAction place(const PacketHead &Head, std::string_view Bytes, Trail Way,
                    TimePoint Now);
  SteerAction openingReturned(const PacketHead &Head, std::string_view Bytes,
                              const Trail &Way, Endpoint From, TimePoint Now);
  SteerAction queueOrRefuse(const PacketHead &Head, std::string_view Bytes,
                            const Route &Route, TimePoint Now);
  /// Places flows that wait for agents of a service, as many as it can bear.
  void release(const std::string &Service, std::vector<LateAction> &Actions,
               TimePoint Now);
  SteerAction search(const PacketHead &Head, std::string_view Bytes,
                     TimePoint Now);
  /// After an answer: offers a packet to those that can't tell when all have
  /// answered, and ends the search when all deny the flow.
  std::vector<LateAction> concluded(Search &S, TimePoint Now);
  /// Offers the last packet to the agents that can't tell. Each packet that
  /// goes to another upstream than its own costs that one work.
  void offer(Search &S, std::vector<LateAction> &Actions);
  bool allKnown(TimePoint Now) const;
  /// What becomes of the last packet of a search that found nobody.
  SteerAction notFound(const Search &S, const PacketHead &Head,
                       TimePoint Now) const;
  FlowCache::Seconds seconds(TimePoint Now) const;

  const Configuration &Config_;
  Directory &Agents_;
  FlowCache Cache_;
  Searches Searches_;
  OpenQueue Queue_;
  TimePoint Started_;
  std::optional<TimePoint> ListedAt_;
  bool PeerHeard_ = false;
};

} // namespace dragonflystall::opaque

#endif
