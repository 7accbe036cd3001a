// Issues and checks the tickets of one agent, and records which were used and
// with what outcome for as long as a verdict may depend on it.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TICKETBOOK_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TICKETBOOK_H

#include "answer.h"
#include "ticket.h"

#include <queue>
#include <unordered_map>
#include <vector>

namespace dragonflystall {

enum class TicketState : uint8_t {
  NoTicket, ///< Bytes that do not have the format of a ticket.
  Fresh,    ///< Unused and valid: the request may run once.
  Recorded, ///< Used or burnt; the record holds the outcome, if any.
  Lapsed,   ///< Expired, certainly never used and not usable any more.
  Unknown,  ///< May have been used; is not accepted here.
};

/// The record of a used ticket.
struct TicketUse {
  Ticket Id;
  TimePoint Expiry; ///< On this agent's clock.
  /// Not set while the request is in progress.
  std::optional<Answer> Outcome;
};

struct TicketCheck {
  TicketState State = TicketState::NoTicket;
  Ticket Id;
  TimePoint Expiry;
  /// Set for Recorded. Valid until the next call.
  const TicketUse *Use = nullptr;
};

class TicketBook {
public:
  TicketBook(AgentRef Self, uint64_t Seed);

  std::string issue(const FlowKey &Flow, Duration Lifetime, TimePoint Now);
  TicketCheck check(const FlowKey &Flow, std::string_view Bytes,
                    TimePoint Now) const;
  /// Records a fresh or lapsed ticket as used, so that it is never accepted
  /// again.
  void use(const FlowKey &Flow, const TicketCheck &Checked);
  /// Records the outcome of a used ticket; no effect if there is no record.
  void settle(const FlowKey &Flow, const Ticket &Id, const Answer &Outcome);

  /// See FlowStateStore.
  void exportFlow(const FlowKey &Flow, TimePoint Now, wire::FlowState &Into);
  /// Returns false and changes nothing if this agent has newer state of the
  /// flow.
  bool importFlow(const FlowKey &Flow, const wire::FlowState &State,
                  TimePoint Now);
  /// Drops the records on which no verdict can depend any more.
  void tick(TimePoint Now);
  size_t records() const { return Records_; }
  size_t bytes() const { return Bytes_; }

private:
  /// The right to accept one issuer's tickets of one flow, received with a
  /// hand-over.
  struct Authority {
    AgentRef Issuer;
    FlowTicketKey Key;
    TimePoint ImportedAt;
    uint64_t IssuerNowMs = 0; ///< The issuer's clock at ImportedAt.
    /// Tickets with an expiry up to here may lack a record.
    uint64_t FloorMs = 0;
    /// Tickets with this counter or above are accepted by the issuer only.
    uint64_t CounterLimit = 0;
    TimePoint ValidUntil;
  };
  struct FlowTickets {
    std::vector<TicketUse> Uses;
    std::vector<Authority> Authorities;
    /// The number of hand-overs of the flow. Orders the copies of its state.
    uint32_t Moves = 0;
    /// The flow was handed over and has not been returned.
    bool HandedOver = false;
    /// Tickets of this agent with a lower counter are not accepted.
    uint64_t FencedBelow = 0;
    TimePoint FenceUntil;
  };
  struct ExpiryEntry {
    TimePoint ExpiresAt;
    FlowKey Flow;
    Ticket Id;
    bool operator<(const ExpiryEntry &Other) const {
      return ExpiresAt > Other.ExpiresAt;
    }
  };

  const Authority *findAuthority(const FlowTickets *Tickets,
                                 AgentRef Issuer) const;
  void dropRecord(const ExpiryEntry &Expired);
  void dropEmpty(const FlowKey &Flow, TimePoint Now);
  wire::TicketAuthority ownAuthority(const FlowKey &Flow, TimePoint Now) const;
  void importAuthority(FlowTickets &Into, const wire::TicketAuthority &From,
                       const FlowKey &Flow, TimePoint Now);
  void addUse(FlowTickets &Into, const FlowKey &Flow, TicketUse Use);

  const AgentRef Self_;
  const TicketSecret Secret_;
  uint64_t NextCounter_ = 1;
  /// Tickets of this agent with an expiry up to here may lack a record.
  uint64_t FloorMs_ = 0;
  /// The latest expiry of all tickets that this agent has issued.
  TimePoint NewestExpiry_;
  std::unordered_map<FlowKey, FlowTickets, FlowKeyHash> Flows_;
  /// Invariant: contains each use in Flows_ exactly once.
  std::priority_queue<ExpiryEntry> RecordExpiries_;
  /// Flows with authorities or a fence, ordered by the end of these.
  std::priority_queue<ExpiryEntry> FlowExpiries_;
  size_t Records_ = 0;
  size_t Bytes_ = 0;
};

} // namespace dragonflystall

#endif
