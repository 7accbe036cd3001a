// The decision on one packet at a balancer, and what it rests on, for logs.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_STEERACTION_H
#define DRAGONFLYSTALL_SRC_OPAQUE_STEERACTION_H

#include "opaque/directory.h"
#include "opaque/forwardingstate.h"
#include "opaque/steerreason.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonflystall::opaque {

/// What a search that found no holder knew at its end.
struct SearchOutcome {
  std::vector<std::string> Services; ///< Whose agents were queried.
  size_t Unanswered = 0;             ///< Agents without an answer.
  size_t Offers = 0;                 ///< Agents that were offered a packet.
  /// Whether a read of the store has confirmed that no agent is missing.
  bool KnowsAllAgents = false;
  /// Whether the route history covers the greatest age of a flow.
  bool HistoryComplete = false;
  bool Widened = false;
  StoreRevision KnownAsOf;      ///< Directory::knownAsOf().
  StoreRevision ReportedEntry;  ///< The greatest Located::NewestEntry.
  int64_t ReportedManifest = 0; ///< The greatest Located::NewestManifest.
};

/// The searches that a read of the store is to confirm, for logs.
struct AwaitedRead {
  size_t Searches = 0;
  Duration Oldest{}; ///< The age of the oldest one.
};

/// What the decision on a flow that waits, or was to wait, rests on, for logs.
struct WaitInputs {
  uint32_t Priority = 0;
  Duration Left{};    ///< Until the flow's deadline; negative if it has passed.
  size_t Waiting = 0; ///< Flows of the service in the queue.
  /// Until an upstream is expected to have room; unset if that is not known.
  std::optional<Duration> RoomIn;
};

/// The decision on one packet.
struct SteerAction {
  enum class Kind : uint8_t {
    Forward, ///< Send it to the agent.
    Ask,   ///< Send Find to all of QueriedAgents; the search holds the packet.
    Reset, ///< Send the caller a reset.
    Drop,
  };

  Kind Disposition = Kind::Drop;
  SteerReason Reason = SteerReason::Stray;
  const Agent *Target = nullptr;
  ForwardingState Forwarding;
  /// Reset: a sequence number that the caller accepts; 0 if the flow is new.
  uint32_t ResetSequence = 0;
  std::vector<const Agent *> QueriedAgents;
  /// NotFound and Lost: what the search knew at its end.
  std::optional<SearchOutcome> Outcome = {};
  /// New flows that can't be placed at once.
  std::optional<WaitInputs> Wait = {};
};

/// The decision on a packet that was held or queued.
struct DelayedAction {
  SteerAction Action;
  HeldPacket Packet;
};

inline SteerAction makeAction(SteerAction::Kind Disposition,
                              SteerReason Reason) {
  SteerAction Action;
  Action.Disposition = Disposition;
  Action.Reason = Reason;
  return Action;
}

inline SteerAction drop(SteerReason Reason) {
  return makeAction(SteerAction::Kind::Drop, Reason);
}

/// Resets a new flow. A caller whose flow is not open accepts any reset. A
/// caller whose flow is open, because this was a late copy of its SYN, ignores
/// sequence number 0 as an old packet.
inline SteerAction refuse(SteerReason Reason) {
  return makeAction(SteerAction::Kind::Reset, Reason);
}

/// Resets an open flow with the sequence number that its caller expects.
inline SteerAction resetOpenFlow(const PacketHead &Head) {
  SteerAction Action =
      makeAction(SteerAction::Kind::Reset, SteerReason::NotFound);
  Action.ResetSequence = Head.Acknowledged;
  return Action;
}

inline SteerAction forward(SteerReason Reason, const Agent &Target,
                           ForwardingState::Mode Mode) {
  SteerAction Action = makeAction(SteerAction::Kind::Forward, Reason);
  Action.Target = &Target;
  Action.Forwarding.ForwardMode = Mode;
  Action.Forwarding.Addressee = ForwardingState::addresseeOf(Target.Id);
  return Action;
}

} // namespace dragonflystall::opaque

#endif
