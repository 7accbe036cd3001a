// Hand-over of one flow's tickets: the key that authenticates them, the records
// of used tickets, and the fence that keeps the previous holder from accepting
// tickets afterwards.
#include "ticketbook.h"
#include "ticketlimits.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// The values of the state field of wire::TicketUse.
enum class UseState : uint32_t { InProgress = 0, Settled = 1 };

uint64_t millis(TimePoint When) {
  return static_cast<uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(When.time_since_epoch())
          .count());
}

uint32_t remainingMs(TimePoint Until, TimePoint Now) {
  const auto Left =
      std::chrono::ceil<std::chrono::milliseconds>(Until - Now).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(Left, 0, UINT32_MAX));
}

void writeUse(const TicketUse &Use, TimePoint Now, wire::TicketUse &Into) {
  Into.set_counter(Use.Id.Counter);
  Into.set_expiry_ms(Use.Id.ExpiryMs);
  Into.set_lifetime_ms(remainingMs(Use.Expiry + RecordLifetime, Now));
  const UseState State = Use.Outcome ? UseState::Settled : UseState::InProgress;
  Into.set_state(static_cast<uint32_t>(State));
  if (Use.Outcome)
    *Into.mutable_answer() = toWire(*Use.Outcome);
}

TicketUse readUse(const wire::TicketUse &From, AgentRef Issuer, TimePoint Now) {
  TicketUse Use;
  Use.Id = {Issuer, From.counter(), From.expiry_ms()};
  Use.Expiry =
      Now + std::chrono::milliseconds(From.lifetime_ms()) - RecordLifetime;
  // A flow is handed over only while none of its requests is in progress, so
  // the outcome of a use without an answer is lost.
  Use.Outcome = From.state() == static_cast<uint32_t>(UseState::Settled)
                    ? fromWire(From.answer())
                    : bareAnswer(Code::GatewayTimeout, Verdict::MayHaveRun);
  return Use;
}

} // namespace

wire::TicketAuthority TicketBook::ownAuthority(const FlowKey &Flow,
                                               TimePoint Now) const {
  wire::TicketAuthority Result;
  Result.mutable_issuer()->set_id(static_cast<uint32_t>(Self_.Id));
  Result.mutable_issuer()->set_incarnation(static_cast<uint64_t>(Self_.Start));
  const FlowTicketKey Key = flowTicketKey(Secret_, Flow);
  Result.set_key(Key.data(), Key.size());
  Result.set_lifetime_ms(remainingMs(NewestExpiry_, Now));
  Result.set_issuer_now_ms(millis(Now));
  Result.set_floor_ms(FloorMs_);
  Result.set_below(NextCounter_);
  return Result;
}

void TicketBook::exportFlow(const FlowKey &Flow, TimePoint Now,
                            wire::FlowState &Into) {
  FlowTickets &Tickets = Flows_[Flow];
  // The flow was handed over already, so there is no state to export.
  if (Tickets.HandedOver)
    return;
  Into.set_moves(Tickets.Moves + 1);
  *Into.add_authorities() = ownAuthority(Flow, Now);
  for (const Authority &Granted : Tickets.Authorities) {
    if (Granted.ValidUntil <= Now)
      continue;
    wire::TicketAuthority &Out = *Into.add_authorities();
    Out.mutable_issuer()->set_id(static_cast<uint32_t>(Granted.Issuer.Id));
    Out.mutable_issuer()->set_incarnation(
        static_cast<uint64_t>(Granted.Issuer.Start));
    Out.set_key(Granted.Key.data(), Granted.Key.size());
    Out.set_lifetime_ms(remainingMs(Granted.ValidUntil - RecordLifetime, Now));
    Out.set_issuer_now_ms(Granted.IssuerNowMs + millis(Now) -
                          millis(Granted.ImportedAt));
    Out.set_floor_ms(Granted.FloorMs);
    Out.set_below(Granted.CounterLimit);
  }
  for (wire::TicketAuthority &Out : *Into.mutable_authorities())
    for (const TicketUse &Use : Tickets.Uses)
      if (static_cast<uint32_t>(Use.Id.Issuer.Id) == Out.issuer().id() &&
          static_cast<uint64_t>(Use.Id.Issuer.Start) ==
              Out.issuer().incarnation())
        writeUse(Use, Now, *Out.add_uses());
  ++Tickets.Moves;
  Tickets.HandedOver = true;
  Tickets.FencedBelow = NextCounter_;
  Tickets.Authorities.clear();
  Tickets.FenceUntil = std::max(NewestExpiry_, Now) + RecordLifetime;
  FlowExpiries_.push({Tickets.FenceUntil, Flow, {}});
}

bool TicketBook::importFlow(const FlowKey &Flow, const wire::FlowState &State,
                            TimePoint Now) {
  const auto It = Flows_.find(Flow);
  if (It != Flows_.end()) {
    const FlowTickets &Tickets = It->second;
    const bool IsNewer = Tickets.HandedOver ? State.moves() >= Tickets.Moves
                                            : State.moves() > Tickets.Moves;
    if (!IsNewer)
      return false;
  }
  FlowTickets &Tickets = Flows_[Flow];
  Tickets.Moves = State.moves();
  Tickets.HandedOver = false;
  for (const wire::TicketAuthority &Imported : State.authorities())
    importAuthority(Tickets, Imported, Flow, Now);
  TimePoint Until = Now + RecordLifetime;
  for (const Authority &Granted : Tickets.Authorities)
    Until = std::max(Until, Granted.ValidUntil);
  // The count of moves is kept for as long as an older copy could make a used
  // ticket valid again.
  Tickets.FenceUntil = std::max(Tickets.FenceUntil, Until);
  FlowExpiries_.push({Tickets.FenceUntil, Flow, {}});
  return true;
}

void TicketBook::importAuthority(FlowTickets &Into,
                                 const wire::TicketAuthority &From,
                                 const FlowKey &Flow, TimePoint Now) {
  const AgentRef Issuer{AgentId{From.issuer().id()},
                        Incarnation{From.issuer().incarnation()}};
  if (From.key().size() != std::tuple_size_v<FlowTicketKey>)
    return;
  if (Issuer == Self_) {
    Into.FencedBelow = 0;
    FloorMs_ = std::max(FloorMs_, From.floor_ms());
  } else {
    Authority Granted;
    Granted.Issuer = Issuer;
    std::ranges::copy(From.key(), Granted.Key.begin());
    Granted.ImportedAt = Now;
    Granted.IssuerNowMs = From.issuer_now_ms();
    Granted.FloorMs = From.floor_ms();
    Granted.CounterLimit = From.below();
    Granted.ValidUntil =
        Now + std::chrono::milliseconds(From.lifetime_ms()) + RecordLifetime;
    std::erase_if(Into.Authorities, [&](const Authority &Existing) {
      return Existing.Issuer == Issuer;
    });
    Into.Authorities.push_back(Granted);
  }
  const auto IsRecorded = [&](const wire::TicketUse &Use) {
    return std::ranges::any_of(Into.Uses, [&](const TicketUse &Record) {
      return Record.Id.Issuer == Issuer && Record.Id.Counter == Use.counter();
    });
  };
  for (const wire::TicketUse &Use : From.uses())
    if (!IsRecorded(Use))
      addUse(Into, Flow, readUse(Use, Issuer, Now));
}

} // namespace dragonflystall
