// The internal state of Requests. The member functions are defined in
// intake.cpp (messages from callers), execution.cpp (queue and upstream runs),
// delivery.cpp (answers), blockwise.cpp (block-wise transfer), spilling.cpp
// (requests exchanged with peers) and hedging.cpp (slow requests that a peer
// runs too).
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_STATE_H
#define DRAGONFLYSTALL_SRC_REQUESTS_STATE_H

#include "admission/admission.h"
#include "downloads.h"
#include "duplicates.h"
#include "job.h"
#include "outbox.h"
#include "requesthedges.h"
#include "requests.h"
#include "retrybudget.h"
#include "spillbook.h"
#include "ticketbook.h"
#include "uploads.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace dragonflystall {

/// What a peer with spare capacity is picked for. A cold one gets no hedges.
enum class PeerUse : uint8_t { Spill, Hedge };

/// A request that this agent has spilled to a peer, or a hedge of it.
struct PendingSpill {
  uint64_t Job = 0;
  AgentRef Peer;
  Endpoint Control;
  TimePoint NextQuery;
  uint32_t Queries = 0; ///< Sent since the peer last answered.
  bool IsHedge = false;
};

struct Requests::State {
  State(AgentIdentity Self, uint64_t Seed);

  const AgentIdentity Self;
  ServiceSettings Service;
  dragonflystall::Random Random;
  TicketBook Tickets;
  Duplicates RecentMessages;
  Uploads PendingUploads;
  Downloads LargeAnswers;
  SpillBook SpillRecords;
  RetryBudget Retries;
  RequestHedges Hedges;
  Outbox Replies;
  Admission Limit;
  std::vector<PeerView> Peers;
  bool Leaving = false;

  /// Ordered, so that loops over all jobs are reproducible from run to run.
  std::map<uint64_t, Job> Jobs;
  /// Invariant: exactly the jobs in phase Queued, oldest first.
  std::deque<uint64_t> Queue;
  /// Invariant: at most as many entries as the upstream has slots.
  std::map<RunId, Run> Runs;
  /// The number of jobs of each flow. Invariant: no entry is 0.
  std::unordered_map<FlowKey, uint32_t, FlowKeyHash> JobsPerFlow;
  /// By spill id. Invariant: exactly the jobs in phase Spilled, and the hedges
  /// of jobs in phase Running.
  std::map<uint64_t, PendingSpill> Spills;
  /// The time of the last event, for functions that get no time argument.
  TimePoint LastEventAt;
  uint64_t NextJob = 1;
  uint64_t NextRun = 1;
  uint64_t NextSpill = 1;

  // intake.cpp
  void onMessage(const AgentPacket &Packet, TimePoint Now, AgentActions &Out);
  void onRequest(const FlowKey &Flow, const Message &Request, ReplyTo To,
                 TimePoint Now, AgentActions &Out);
  void onCompleteRequest(const FlowKey &Flow, const Message &Request,
                         ReplyTo To, TimePoint Now, AgentActions &Out);
  void onNonIdempotent(const FlowKey &Flow, const Message &Request, ReplyTo To,
                       TimePoint Now, AgentActions &Out);
  void onUsedTicket(const FlowKey &Flow, const TicketCheck &Checked, ReplyTo To,
                    TimePoint Now, AgentActions &Out);
  void accept(const FlowKey &Flow, const Message &Request, ReplyTo To,
              std::optional<Ticket> Used, TimePoint Now, AgentActions &Out);
  void onCancel(const FlowKey &Flow, const Message &Request, ReplyTo To,
                TimePoint Now, AgentActions &Out);
  void answerDuplicate(const FlowKey &Flow, const Duplicates::Entry &Record,
                       const ReplyTo &To, AgentActions &Out);
  void updateBalancer(const FlowKey &Flow, Endpoint Balancer);

  // execution.cpp
  Job &addJob(Job Value);
  void dispatch(Job &Value, TimePoint Now, AgentActions &Out);
  void enqueue(Job &Value);
  void start(Job &Value, TimePoint Now, AgentActions &Out);
  void drainQueue(TimePoint Now, AgentActions &Out);
  void onUpstream(const UpstreamAnswer &Value, TimePoint Now,
                  AgentActions &Out);
  void handleOutcome(Job &Value, const UpstreamAnswer &Upstream, TimePoint Now,
                     AgentActions &Out);
  void finish(Job &Value, const Answer &Result, TimePoint Now,
              AgentActions &Out);
  void refuse(Job &Value, TimePoint Now, AgentActions &Out);
  void cancel(Job &Value, TimePoint Now, AgentActions &Out);
  void sweepJobs(TimePoint Now, AgentActions &Out);
  Duration expectedWait() const;
  bool finishesInTime(const Job &Value, TimePoint Now) const;

  // blockwise.cpp
  void onUpload(const FlowKey &Flow, const Message &Part, ReplyTo To,
                TimePoint Now, AgentActions &Out);
  void refuseUpload(const FlowKey &Flow, const Message &Request,
                    const ReplyTo &To, Answer Refusal, TimePoint Now,
                    AgentActions &Out);
  void onLaterBlock(const FlowKey &Flow, const Message &Request,
                    const ReplyTo &To, TimePoint Now, AgentActions &Out);

  // spilling.cpp
  std::shared_ptr<wire::ControlMessage> controlMessage() const;
  uint32_t spareCapacity(const PeerView &Peer, PeerUse Use) const;
  const PeerView *pickPeer(PeerUse Use);
  uint64_t sendSpill(Job &Value, const PeerView &Peer, Event Sent,
                     TimePoint Now, AgentActions &Out);
  bool trySpill(Job &Value, TimePoint Now, AgentActions &Out);
  bool retryAtPeer(Job &Value, TimePoint Now, AgentActions &Out);
  void onPeer(const wire::ControlMessage &Value, TimePoint Now,
              AgentActions &Out);
  void onSpill(const wire::ControlMessage &Value, TimePoint Now,
               AgentActions &Out);
  void onSpillReply(const wire::ControlMessage &Value, TimePoint Now,
                    AgentActions &Out);
  void onSpillQuery(const wire::ControlMessage &Value, TimePoint Now,
                    AgentActions &Out);
  void onSpillCancel(const wire::ControlMessage &Value, TimePoint Now,
                     AgentActions &Out);
  void sweepSpills(TimePoint Now, AgentActions &Out);
  void query(uint64_t Id, PendingSpill &Spill, TimePoint Now,
             AgentActions &Out);
  void replyToSpill(const SpillOrigin &To, const Answer &Result,
                    AgentActions &Out) const;

  // hedging.cpp
  void sweepHedges(TimePoint Now, AgentActions &Out);
  std::optional<TimePoint> nextHedgeAt(TimePoint Now);
  static bool mayBeHedged(const Job &Value);
  void considerHedge(Job &Value, const Run &Slow, TimePoint Now,
                     AgentActions &Out);
  void onHedgeRefused(Job &Value, RequestHedgeResult Reason);
  bool awaitHedge(Job &Value, UpstreamOutcome Ended);
  void onHedgeReply(Job &Value, const Answer &Result, TimePoint Now,
                    AgentActions &Out);
  void onHedgeLost(Job &Value, TimePoint Now, AgentActions &Out);
  void dropHedge(Job &Value, AgentActions &Out);
  void cancelLostRun(const Job &Value, TimePoint Now, AgentActions &Out);

  // delivery.cpp
  void send(const FlowKey &Flow, const ReplyTo &To, Message Value,
            TimePoint Now, AgentActions &Out);
  void deliver(const FlowKey &Flow, const ReplyTo &To, const Answer &Result,
               bool WithTicket, TimePoint Now, AgentActions &Out);
  void acknowledge(ReplyTo &To, AgentActions &Out);
  void acknowledgeSlowJobs(TimePoint Now, AgentActions &Out);
};

/// Builds a time-line event about a request.
Event requestEvent(EventKind Kind, const FlowKey &Flow, uint64_t Request,
                   uint64_t Value = 0);

} // namespace dragonflystall

#endif
