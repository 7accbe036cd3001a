// Issues, checks and records tickets. A ticket is accepted until its expiry;
// its record is kept longer, so that the absence of a record proves that the
// request never ran.
#include "ticketbook.h"

#include "ticketlimits.h"
#include "types/check.h"

#include <algorithm>

namespace dragonflystall {

namespace {

uint64_t millis(TimePoint When) {
  return static_cast<uint64_t>(
      std::chrono::floor<std::chrono::milliseconds>(When.time_since_epoch())
          .count());
}

template <typename Uses> auto *find(Uses &Among, const Ticket &Id) {
  const auto Matches = [&](const TicketUse &Use) {
    return Use.Id.Counter == Id.Counter && Use.Id.Issuer == Id.Issuer;
  };
  const auto It = std::ranges::find_if(Among, Matches);
  return It == Among.end() ? nullptr : &*It;
}

/// The state of a ticket without a record, if any use would still be on record.
TicketState unused(TimePoint Expiry, TimePoint Now) {
  if (Now < Expiry)
    return TicketState::Fresh;
  return Now < Expiry + RecordLifetime ? TicketState::Lapsed
                                       : TicketState::Unknown;
}

} // namespace

TicketBook::TicketBook(AgentRef Self, uint64_t Seed)
    : Self_(Self), Secret_(ticketSecret(Seed)) {}

std::string TicketBook::issue(const FlowKey &Flow, Duration Lifetime,
                              TimePoint Now) {
  const TimePoint Expiry = Now + std::min(Lifetime, MaxTicketLifetime);
  NewestExpiry_ = std::max(NewestExpiry_, Expiry);
  const Ticket Value{Self_, NextCounter_++, millis(Expiry)};
  return sealTicket(Value, flowTicketKey(Secret_, Flow));
}

const TicketBook::Authority *
TicketBook::findAuthority(const FlowTickets *Tickets, AgentRef Issuer) const {
  if (Tickets == nullptr)
    return nullptr;
  const auto It =
      std::ranges::find(Tickets->Authorities, Issuer, &Authority::Issuer);
  return It == Tickets->Authorities.end() ? nullptr : &*It;
}

TicketCheck TicketBook::check(const FlowKey &Flow, std::string_view Bytes,
                              TimePoint Now) const {
  TicketCheck Result;
  const auto Decoded = decodeTicket(Bytes);
  if (!Decoded)
    return Result;
  Result.Id = *Decoded;
  Result.State = TicketState::Unknown;
  const auto It = Flows_.find(Flow);
  const FlowTickets *Tickets = It == Flows_.end() ? nullptr : &It->second;
  uint64_t FloorMs = FloorMs_;
  if (Decoded->Issuer == Self_) {
    if (!verifyTicket(Bytes, flowTicketKey(Secret_, Flow)))
      return Result;
    Result.Expiry = TimePoint(std::chrono::milliseconds(Decoded->ExpiryMs));
  } else {
    const Authority *Granted = findAuthority(Tickets, Decoded->Issuer);
    if (Granted == nullptr || Decoded->Counter >= Granted->CounterLimit ||
        !verifyTicket(Bytes, Granted->Key))
      return Result;
    FloorMs = Granted->FloorMs;
    Result.Expiry =
        Granted->ImportedAt +
        std::chrono::milliseconds(static_cast<int64_t>(Decoded->ExpiryMs) -
                                  static_cast<int64_t>(Granted->IssuerNowMs));
  }
  if (Tickets != nullptr)
    Result.Use = find(Tickets->Uses, *Decoded);
  const bool IsFenced = Tickets != nullptr && Decoded->Issuer == Self_ &&
                        Decoded->Counter < Tickets->FencedBelow;
  if (Result.Use != nullptr)
    Result.State = TicketState::Recorded;
  else if (!IsFenced && Decoded->ExpiryMs > FloorMs)
    Result.State = unused(Result.Expiry, Now);
  return Result;
}

void TicketBook::use(const FlowKey &Flow, const TicketCheck &Checked) {
  FlowTickets &Tickets = Flows_[Flow];
  dragonflystall::check(find(Tickets.Uses, Checked.Id) == nullptr,
                        "a ticket is used only once");
  addUse(Tickets, Flow, {Checked.Id, Checked.Expiry, std::nullopt});
}

void TicketBook::addUse(FlowTickets &Into, const FlowKey &Flow, TicketUse Use) {
  RecordExpiries_.push({Use.Expiry + RecordLifetime, Flow, Use.Id});
  if (Use.Outcome)
    Bytes_ += Use.Outcome->bytes();
  Into.Uses.push_back(std::move(Use));
  ++Records_;
}

void TicketBook::settle(const FlowKey &Flow, const Ticket &Id,
                        const Answer &Outcome) {
  const auto It = Flows_.find(Flow);
  TicketUse *Use = It == Flows_.end() ? nullptr : find(It->second.Uses, Id);
  if (Use == nullptr)
    return;
  if (Use->Outcome)
    Bytes_ -= Use->Outcome->bytes();
  Use->Outcome = Outcome;
  // Large bodies are stored in Downloads while the caller fetches them.
  if (Outcome.bytes() > MaxRecordedBody)
    Use->Outcome->Body = nullptr;
  Bytes_ += Use->Outcome->bytes();
}

void TicketBook::dropRecord(const ExpiryEntry &Expired) {
  const auto It = Flows_.find(Expired.Flow);
  if (It == Flows_.end())
    return;
  FlowTickets &Tickets = It->second;
  TicketUse *Use = find(Tickets.Uses, Expired.Id);
  if (Use == nullptr)
    return;
  if (Use->Outcome)
    Bytes_ -= Use->Outcome->bytes();
  --Records_;
  Tickets.Uses.erase(Tickets.Uses.begin() + (Use - Tickets.Uses.data()));
  if (Expired.Id.Issuer == Self_) {
    FloorMs_ = std::max(FloorMs_, Expired.Id.ExpiryMs);
    return;
  }
  for (Authority &Granted : Tickets.Authorities)
    if (Granted.Issuer == Expired.Id.Issuer)
      Granted.FloorMs = std::max(Granted.FloorMs, Expired.Id.ExpiryMs);
}

void TicketBook::dropEmpty(const FlowKey &Flow, TimePoint Now) {
  const auto It = Flows_.find(Flow);
  if (It == Flows_.end())
    return;
  FlowTickets &Tickets = It->second;
  std::erase_if(Tickets.Authorities, [Now](const Authority &Granted) {
    return Granted.ValidUntil <= Now;
  });
  if (Tickets.Uses.empty() && Tickets.Authorities.empty() &&
      Tickets.FenceUntil <= Now)
    Flows_.erase(It);
}

void TicketBook::tick(TimePoint Now) {
  while (!RecordExpiries_.empty()) {
    const ExpiryEntry &Oldest = RecordExpiries_.top();
    const bool OverLimit =
        Records_ > MaxTicketRecords || Bytes_ > MaxRecordBytes;
    if (Oldest.ExpiresAt > Now && !OverLimit)
      break;
    const ExpiryEntry Expired = Oldest;
    RecordExpiries_.pop();
    dropRecord(Expired);
    dropEmpty(Expired.Flow, Now);
  }
  while (!FlowExpiries_.empty() && FlowExpiries_.top().ExpiresAt <= Now) {
    const FlowKey Flow = FlowExpiries_.top().Flow;
    FlowExpiries_.pop();
    dropEmpty(Flow, Now);
  }
}

} // namespace dragonflystall
