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
  const auto Same = [&](const TicketUse &Use) {
    return Use.Id.Counter == Id.Counter && Use.Id.Issuer == Id.Issuer;
  };
  const auto At = std::ranges::find_if(Among, Same);
  return At == Among.end() ? nullptr : &*At;
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

const TicketBook::Authority *TicketBook::authority(const FlowTickets *Of,
                                                   AgentRef Issuer) const {
  if (Of == nullptr)
    return nullptr;
  const auto At =
      std::ranges::find(Of->Authorities, Issuer, &Authority::Issuer);
  return At == Of->Authorities.end() ? nullptr : &*At;
}

TicketCheck TicketBook::check(const FlowKey &Flow, std::string_view Bytes,
                              TimePoint Now) const {
  TicketCheck Result;
  const auto Said = readTicket(Bytes);
  if (!Said)
    return Result;
  Result.Id = *Said;
  Result.State = TicketState::Unknown;
  const auto Known = Flows_.find(Flow);
  const FlowTickets *Of = Known == Flows_.end() ? nullptr : &Known->second;
  uint64_t FloorMs = FloorMs_;
  if (Said->Issuer == Self_) {
    if (!checkTicket(Bytes, flowTicketKey(Secret_, Flow)))
      return Result;
    Result.Expiry = TimePoint(std::chrono::milliseconds(Said->ExpiryMs));
  } else {
    const Authority *Granted = authority(Of, Said->Issuer);
    if (Granted == nullptr || Said->Counter >= Granted->Below ||
        !checkTicket(Bytes, Granted->Key))
      return Result;
    FloorMs = Granted->FloorMs;
    Result.Expiry =
        Granted->TakenAt +
        std::chrono::milliseconds(static_cast<int64_t>(Said->ExpiryMs) -
                                  static_cast<int64_t>(Granted->IssuerNowMs));
  }
  if (Of != nullptr)
    Result.Use = find(Of->Uses, *Said);
  const bool Fenced =
      Of != nullptr && Said->Issuer == Self_ && Said->Counter < Of->FencedBelow;
  if (Result.Use != nullptr)
    Result.State = TicketState::Recorded;
  else if (!Fenced && Said->ExpiryMs > FloorMs)
    Result.State = unused(Result.Expiry, Now);
  return Result;
}

void TicketBook::use(const FlowKey &Flow, const TicketCheck &Checked) {
  FlowTickets &Of = Flows_[Flow];
  dragonflystall::check(find(Of.Uses, Checked.Id) == nullptr,
                        "a ticket is used only once");
  addUse(Of, Flow, {Checked.Id, Checked.Expiry, std::nullopt});
}

void TicketBook::addUse(FlowTickets &Into, const FlowKey &Flow, TicketUse Use) {
  Order_.push({Use.Expiry + RecordLifetime, Flow, Use.Id});
  if (Use.Outcome)
    Bytes_ += Use.Outcome->bytes();
  Into.Uses.push_back(std::move(Use));
  ++Records_;
}

void TicketBook::settle(const FlowKey &Flow, const Ticket &Id,
                        const Answer &Outcome) {
  const auto At = Flows_.find(Flow);
  TicketUse *Use = At == Flows_.end() ? nullptr : find(At->second.Uses, Id);
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

void TicketBook::forget(const Forget &What) {
  const auto At = Flows_.find(What.Flow);
  if (At == Flows_.end())
    return;
  FlowTickets &Of = At->second;
  TicketUse *Use = find(Of.Uses, What.Id);
  if (Use == nullptr)
    return;
  if (Use->Outcome)
    Bytes_ -= Use->Outcome->bytes();
  --Records_;
  Of.Uses.erase(Of.Uses.begin() + (Use - Of.Uses.data()));
  if (What.Id.Issuer == Self_) {
    FloorMs_ = std::max(FloorMs_, What.Id.ExpiryMs);
    return;
  }
  for (Authority &Each : Of.Authorities)
    if (Each.Issuer == What.Id.Issuer)
      Each.FloorMs = std::max(Each.FloorMs, What.Id.ExpiryMs);
}

void TicketBook::dropEmpty(const FlowKey &Flow, TimePoint Now) {
  const auto At = Flows_.find(Flow);
  if (At == Flows_.end())
    return;
  FlowTickets &Of = At->second;
  std::erase_if(Of.Authorities,
                [Now](const Authority &Each) { return Each.Until <= Now; });
  if (Of.Uses.empty() && Of.Authorities.empty() && Of.FenceUntil <= Now)
    Flows_.erase(At);
}

void TicketBook::tick(TimePoint Now) {
  while (!Order_.empty()) {
    const Forget &Oldest = Order_.top();
    const bool Over = Records_ > MaxTicketRecords || Bytes_ > MaxRecordBytes;
    if (Oldest.When > Now && !Over)
      break;
    const Forget What = Oldest;
    Order_.pop();
    forget(What);
    dropEmpty(What.Flow, Now);
  }
  while (!FlowOrder_.empty() && FlowOrder_.top().When <= Now) {
    const FlowKey Flow = FlowOrder_.top().Flow;
    FlowOrder_.pop();
    dropEmpty(Flow, Now);
  }
}

} // namespace dragonflystall
