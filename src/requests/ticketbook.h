// The tickets of one agent: issues them, checks them, and remembers which were
// used and how that ended for as long as a verdict may depend on it.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TICKETBOOK_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TICKETBOOK_H

#include "answer.h"
#include "ticket.h"

#include <queue>
#include <unordered_map>
#include <vector>

namespace dragonflystall {

enum class TicketState : uint8_t {
  NoTicket, ///< Bytes that no agent issued as a ticket.
  Fresh,    ///< May run now, once.
  Recorded, ///< Was used or burnt; the record says what came of it.
  Lapsed,   ///< Expired, and certainly neither used nor usable.
  Unknown,  ///< Nothing is certain but that it will not run here.
};

/// How a ticket was used.
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
  /// Marks a fresh or lapsed ticket as used: from here on it never runs again.
  void use(const FlowKey &Flow, const TicketCheck &Checked);
  /// Records how the use ended.
  void settle(const FlowKey &Flow, const Ticket &Id, const Answer &Outcome);

  /// See FlowStateStore.
  void exportFlow(const FlowKey &Flow, TimePoint Now, wire::FlowState &Into);
  /// False: an older copy than what is known here; nothing was taken.
  bool importFlow(const FlowKey &Flow, const wire::FlowState &State,
                  TimePoint Now);
  /// Forgets what no verdict depends on any more.
  void tick(TimePoint Now);
  size_t records() const { return Records_; }
  size_t bytes() const { return Bytes_; }

private:
  /// The right to accept one issuer's tickets of one flow, from a hand-over.
  struct Authority {
    AgentRef Issuer;
    FlowTicketKey Key;
    TimePoint TakenAt;
    uint64_t IssuerNowMs = 0; ///< The issuer's clock at TakenAt.
    uint64_t FloorMs = 0;
    uint64_t Below = 0; ///< Higher counters stayed with the issuer.
    TimePoint Until;
  };
  struct FlowTickets {
    std::vector<TicketUse> Uses;
    std::vector<Authority> Authorities;
    uint32_t Moves = 0;
    /// The flow was given away and did not come back.
    bool Away = false;
    /// Own tickets with a lower counter are not accepted.
    uint64_t FencedBelow = 0;
    TimePoint FenceUntil;
  };
  struct Forget {
    TimePoint When;
    FlowKey Flow;
    Ticket Id;
    bool operator<(const Forget &Other) const { return When > Other.When; }
  };

  const Authority *authority(const FlowTickets *Of, AgentRef Issuer) const;
  void forget(const Forget &What);
  void dropEmpty(const FlowKey &Flow, TimePoint Now);
  wire::TicketAuthority ownAuthority(const FlowKey &Flow, TimePoint Now) const;
  void take(FlowTickets &Into, const wire::TicketAuthority &From,
            const FlowKey &Flow, TimePoint Now);
  void addUse(FlowTickets &Into, const FlowKey &Flow, TicketUse Use);

  const AgentRef Self_;
  const TicketSecret Secret_;
  uint64_t NextCounter_ = 1;
  /// Own tickets that expired up to here may lack a record.
  uint64_t FloorMs_ = 0;
  /// Of all own tickets that were ever issued.
  TimePoint NewestExpiry_;
  std::unordered_map<FlowKey, FlowTickets, FlowKeyHash> Flows_;
  /// Invariant: each use in Flows_ is in here once.
  std::priority_queue<Forget> Order_;
  /// Flows with authorities or a fence, by when these end.
  std::priority_queue<Forget> FlowOrder_;
  size_t Records_ = 0;
  size_t Bytes_ = 0;
};

} // namespace dragonflystall

#endif
