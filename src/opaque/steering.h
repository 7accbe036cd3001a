// Forwarding decisions of the balancer for opaque flows, without I/O. All state
// can be lost: the upstreams hold the flows, and the balancer searches for the
// holder of a flow that is not in its cache.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_STEERING_H
#define DRAGONFLYSTALL_SRC_OPAQUE_STEERING_H

#include "opaque/coldoffers.h"
#include "opaque/earlypackets.h"
#include "opaque/entryconfirmation.h"
#include "opaque/forwardingstate.h"
#include "opaque/newflowqueue.h"
#include "opaque/openings.h"
#include "opaque/placement.h"
#include "opaque/search.h"
#include "opaque/settledera.h"
#include "opaque/steeraction.h"
#include "steering/flowcache.h"

namespace dragonflystall::opaque {

/// A decision on a hedge; Action forwards its SYN if one is sent.
struct HedgeAction {
  HedgeDecision Decision;
  SteerAction Action;
};

class Steering {
public:
  Steering(const Configuration &Config, Directory &Agents, size_t CachedFlows,
           TimePoint Started, uint64_t Seed = 1)
      : Config_(Config), Agents_(Agents), Cache_(CachedFlows),
        Openings_(Config, Agents), Confirmation_(Seed), Started_(Started) {}

  /// Prefetches the flow's cache entry: call for each packet of a batch before
  /// the first one is steered.
  void prefetch(const PacketHead &Head) const {
    Cache_.prefetch(hashOf(Head.fromCaller()));
  }
  /// Decides on a packet that a caller sent.
  SteerAction fromCaller(const PacketHead &Head, std::string_view Bytes,
                         TimePoint Now);
  /// Decides on a packet that the agent with the address Sender returned.
  SteerAction onReturned(const PacketHead &Head, std::string_view Bytes,
                         Endpoint Sender, TimePoint Now);
  std::vector<DelayedAction> onLocated(const Located &Message, TimePoint Now);
  /// Call regularly: ages the cache, ends searches and places queued flows.
  std::vector<DelayedAction> tick(TimePoint Now);
  /// Decides on second openings. Call every few milliseconds while
  /// openings().hasPending() and hedging is on.
  std::vector<HedgeAction> hedge(TimePoint Now);
  void setHedgeLimits(HedgeLimits Limits) { Openings_.setLimits(Limits); }
  const Openings &openings() const { return Openings_; }
  /// Call when the balancer has a manifest: decides on the packets that came
  /// before it.
  std::vector<DelayedAction> onManifest(TimePoint Now);
  /// The decisions on queued flows that packets of other flows have caused
  /// since the last call of this function or of tick(): call after each batch.
  std::vector<DelayedAction> takeDelayed() {
    return std::exchange(Delayed_, {});
  }
  /// Call when the list of agents was read from the store in full. For a while
  /// after the first list of a new era, which may have lost entries, a flow may
  /// exist although all known agents deny it.
  void onAgentsListed(StoreRevision Revision, TimePoint Now);
  /// If the store should be read to confirm that all agents of denied searches
  /// are known, marks the read as begun: the caller reads the changes of the
  /// agents' entries with a linearizable call.
  std::optional<AwaitedRead> beginRead(TimePoint Now);
  /// The read has succeeded, and the directory has its entries.
  std::vector<DelayedAction> onAgentsRead(TimePoint Now);
  void onReadFailed(TimePoint Now) { Confirmation_.onFailed(Now); }
  /// Whether the store's list of agents was read and lacks none since a
  /// restore. Does not prove that a flow is gone, since the list may be
  /// outdated.
  bool knowsAllAgents(TimePoint Now) const;

  /// Where the SYN of a new flow to the route would go now, for operators. The
  /// caller's address decides on the service if the route names several.
  Placement explain(Endpoint Route, std::optional<Endpoint> Caller,
                    TimePoint Now) const;

  size_t queuedFlows() const { return Queue_.size(); }
  /// Flows that are queued or searched for.
  size_t heldFlows() const {
    return Queue_.size() + Searches_.size() + EarlyPackets_.size();
  }
  size_t cachedFlows() const { return Cache_.size(); }

private:
  /// A new flow that is to be placed.
  struct NewFlow {
    const Route *Target = nullptr; ///< nullptr if there is none any more.
    /// nullptr if no service of the route takes new flows.
    const WeightedService *Service = nullptr;
    TimePoint Deadline{};
  };

  NewFlow describe(const PacketHead &Head, TimePoint Now) const;
  /// Decides on a SYN that its caller has sent.
  SteerAction onNewSyn(const PacketHead &Head, std::string_view Bytes,
                       ForwardingState Forwarding, TimePoint Now);
  SteerAction placeFlow(const PacketHead &Head, std::string_view Bytes,
                        const NewFlow &Flow, ForwardingState Forwarding,
                        TimePoint Now);
  SteerAction onReturnedSyn(const PacketHead &Head, std::string_view Bytes,
                            const ForwardingState &Forwarding, Endpoint Sender,
                            TimePoint Now);
  /// Forwards a packet of a flow whose holder is known. If copies of its SYN
  /// are at several agents, sends it to the one that the caller has answered
  /// most probably.
  SteerAction forwardHeld(const PacketHead &Head, uint64_t Hash,
                          const Agent &Holder, TimePoint Now);
  SteerAction queueOrRefuse(const PacketHead &Head, std::string_view Bytes,
                            const NewFlow &Flow, TimePoint Now);
  /// Number of new flows that the cold upstreams of a service take in a second
  /// at the least.
  size_t coldRoomOf(const std::string &Service, TimePoint Now) const;
  WaitInputs waitInputs(const WaitingFlow &Flow, TimePoint Now) const;
  /// Adds the refusal of a flow that has waited to Delayed_.
  void refuseWaiting(WaitingFlow Flow, SteerReason Reason, TimePoint Now);
  /// What becomes of a new flow for which no agent is left: Queued, TooLate,
  /// NoUpstream or QueueFull.
  SteerReason waitOrRefusal(const std::string &Service, uint32_t Priority,
                            TimePoint Deadline, TimePoint Now) const;
  /// Limit on the queued flows of a service.
  size_t maxQueued(const std::string &Service) const;
  /// Whether a new flow, or the one with this hash, would go to the service.
  bool mayGoTo(const Route &Route, const WeightedService &Service,
               std::optional<uint64_t> FlowHash, TimePoint Now) const;
  ServicePlacement explainService(const Route &Route,
                                  const WeightedService &Service,
                                  std::optional<uint64_t> FlowHash,
                                  TimePoint Now) const;
  /// The service for a new flow: the one that the flow prefers by the weights
  /// of its route, or the next one while that one has no upstream that takes
  /// flows. nullptr if no service of the route takes new flows.
  const WeightedService *serviceFor(const Route &Route, uint64_t FlowHash,
                                    TimePoint Now) const;
  /// The services whose upstreams may hold open flows of the route.
  std::vector<std::string> servicesOf(Endpoint Address, const Route &Route,
                                      TimePoint Now) const;
  /// Places queued flows of a service, as many as its open slots and its cold
  /// upstreams allow.
  void placeQueued(const std::string &Service, TimePoint Now);
  /// Refuses queued flows of a service that will not be placed in time, unless
  /// they may go to another service of their route by now.
  void endLateWaits(const std::string &Service, TimePoint Now);
  /// Adds the decision on a flow that has waited to Delayed_.
  void placeWaiting(WaitingFlow Waiting, TimePoint Now);
  SteerAction search(const PacketHead &Head, std::string_view Bytes,
                     TimePoint Now);
  /// Call after an answer: once all agents have answered, offers a packet to
  /// those that can't tell, and ends the search if all deny the flow.
  std::vector<DelayedAction> conclude(Search &Pending, TimePoint Now);
  /// If all queried agents have denied the flow, adds the decision on its last
  /// packet.
  void concludeIfDenied(Search &Pending, std::vector<DelayedAction> &Actions,
                        TimePoint Now);
  /// Offers the last packet to the agents that can't tell. Each packet that
  /// reaches an upstream other than the holder costs that upstream work.
  void offerPacket(Search &Pending, std::vector<DelayedAction> &Actions);
  /// Decides on a search that all queried agents have denied: queries the
  /// agents of all other services if the route may have named one of them
  /// before, else ends the search.
  SteerAction concludeDenied(Search &Pending, const PacketHead &Head,
                             TimePoint Now);
  /// The decision on the last packet of a search that found no holder.
  SteerAction makeNotFound(const Search &Pending, const PacketHead &Head,
                           TimePoint Now) const;
  SteerAction notFoundOrLost(const Search &Pending, const PacketHead &Head,
                             TimePoint Now) const;
  /// Queries the agents that were added to the search.
  SteerAction askAwaited(const Search &Pending, SteerReason Reason);
  /// Whether no agent that may hold the flow is unknown to this balancer.
  bool isConfirmed(const Search &Pending, TimePoint Now) const;
  /// Whether a read of the store may show that the flow has no holder.
  bool mayConfirm(const Search &Pending, TimePoint Now) const;
  SearchOutcome outcomeOf(const Search &Pending, TimePoint Now) const;
  FlowCache::Seconds seconds(TimePoint Now) const;

  const Configuration &Config_;
  Directory &Agents_;
  FlowCache Cache_;
  Searches Searches_;
  NewFlowQueue Queue_;
  SynDeadlines Deadlines_;
  /// Of the services with queued flows and without open upstreams.
  std::map<std::string, ColdOffers> ColdOffers_;
  std::vector<DelayedAction> Delayed_; ///< See takeDelayed().
  Openings Openings_;
  EarlyPackets EarlyPackets_;
  EntryConfirmation Confirmation_;
  SettledEra Era_;
  TimePoint Started_;
  /// The era of the last list of agents; unset before the first one.
  std::optional<int64_t> ListedEra_;
};

} // namespace dragonflystall::opaque

#endif
