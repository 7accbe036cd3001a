// Messages from callers. Duplicates get the recorded answer, non-idempotent
// requests need a ticket, and all other requests become jobs.
#include "state.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// Longer timeouts that a caller asks for are cut to this one.
constexpr Duration MaxRequestTimeout = 60s;
/// Subtracted from the caller's timeout, so that the answer arrives in time: it
/// covers a few milliseconds of network delay in each direction and scheduling
/// delays.
constexpr Duration AnswerMargin = 50ms;
constexpr int AnswerMarginShare = 10;
/// The largest number of messages to which one answer is sent.
constexpr size_t MaxCallersOfJob = 4;

bool isKnownMethod(Code Method) {
  return Method >= Code::Get && Method <= Code::Delete;
}

ReplyTo replyTo(const AgentPacket &Packet, TimePoint Now) {
  ReplyTo To;
  To.Header = Packet.Header;
  To.Type = Packet.Decoded.Type;
  To.MessageId = Packet.Decoded.MessageId;
  To.Token = Packet.Decoded.Token;
  To.Asked = {flowOf(Packet.Header), Packet.Decoded.Kind, Packet.Decoded.Path,
              Packet.Decoded.Query};
  To.Block1 = Packet.Decoded.Block1;
  To.Block2 = Packet.Decoded.Block2;
  To.At = Now;
  return To;
}

} // namespace

void Requests::State::onMessage(const AgentPacket &Packet, TimePoint Now,
                                AgentActions &Out) {
  LastEvent = Now;
  const Message &Value = Packet.Decoded;
  const FlowKey Flow = flowOf(Packet.Header);
  Replies.heard(Packet.Header.Balancer, Now);
  follow(Flow, Packet.Header.Balancer);
  if (Value.Type == MessageType::Acknowledgement ||
      Value.Type == MessageType::Reset) {
    Replies.acknowledged(Flow, Value.MessageId);
    return;
  }
  ReplyTo To = replyTo(Packet, Now);
  if (!isRequest(Value.Kind)) {
    // RFC 7252, section 4.3: an empty confirmable message is a ping.
    if (Value.Kind == Code::Empty && Value.Type == MessageType::Confirmable) {
      Message Pong;
      Pong.Type = MessageType::Reset;
      Pong.MessageId = Value.MessageId;
      Replies.send(To.Header, Pong, Out);
    }
    return;
  }
  if (const Duplicates::Entry *Known = Recent.find(Flow, Value)) {
    repeat(Flow, *Known, To, Out);
    return;
  }
  Recent.begin(Flow, Value, Now);
  if (Value.Cancel)
    onCancel(Flow, Value, std::move(To), Now, Out);
  else
    onRequest(Flow, Value, std::move(To), Now, Out);
}

/// Sends further answers through the balancer that forwarded the caller's most
/// recent packet.
void Requests::State::follow(const FlowKey &Flow, Endpoint Balancer) {
  if (!Balancer)
    return;
  Replies.moved(Flow, Balancer);
  if (!Busy.contains(Flow))
    return;
  for (auto &[Id, Each] : Jobs)
    if (Each.Work.Flow == Flow)
      for (ReplyTo &To : Each.Callers)
        To.Header.Balancer = Balancer;
}

void Requests::State::repeat(const FlowKey &Flow,
                             const Duplicates::Entry &Known, const ReplyTo &To,
                             AgentActions &Out) {
  if (To.Type != MessageType::Confirmable && !Known.Given)
    return;
  Out.emplace_back(requestEvent(EventKind::DuplicateAnswered, Flow, 0));
  if (Known.Given) {
    Replies.send(To.Header, *Known.Given, Out);
    return;
  }
  ReplyTo Waiting = To;
  acknowledge(Waiting, Out);
}

void Requests::State::onRequest(const FlowKey &Flow, const Message &Request,
                                ReplyTo To, TimePoint Now, AgentActions &Out) {
  if (!isKnownMethod(Request.Kind)) {
    deliver(Flow, To, bareAnswer(Code::BadRequest, Verdict::NotRun), false, Now,
            Out);
    return;
  }
  if (Request.Block2 && Request.Block2->Number > 0) {
    onLaterBlock(Flow, Request, To, Now, Out);
    return;
  }
  const bool InBlocks =
      Request.Block1 && (Request.Block1->More || Request.Block1->Number > 0);
  if (InBlocks)
    onUpload(Flow, Request, std::move(To), Now, Out);
  else
    onWhole(Flow, Request, std::move(To), Now, Out);
}

/// Handles a request whose body is complete.
void Requests::State::onWhole(const FlowKey &Flow, const Message &Request,
                              ReplyTo To, TimePoint Now, AgentActions &Out) {
  if (isIdempotent(Request.Kind))
    accept(Flow, Request, std::move(To), std::nullopt, Now, Out);
  else
    onTicketed(Flow, Request, std::move(To), Now, Out);
}

void Requests::State::onTicketed(const FlowKey &Flow, const Message &Request,
                                 ReplyTo To, TimePoint Now, AgentActions &Out) {
  const TicketCheck Checked =
      Tickets.check(Flow, Request.Echo.value_or(""), Now);
  switch (Checked.State) {
  case TicketState::Fresh:
    Tickets.use(Flow, Checked);
    accept(Flow, Request, std::move(To), Checked.Id, Now, Out);
    return;
  case TicketState::Recorded:
    onUsedTicket(Flow, Checked, std::move(To), Now, Out);
    return;
  case TicketState::Unknown:
    // Not 4.01, because a standard CoAP client would then send the request
    // again.
    deliver(Flow, To, bareAnswer(Code::GatewayTimeout, Verdict::MayHaveRun),
            true, Now, Out);
    return;
  case TicketState::Lapsed:
    // Recorded as used, so that it is never accepted again even if the clock
    // was wrong.
    Tickets.use(Flow, Checked);
    Tickets.settle(Flow, Checked.Id,
                   bareAnswer(Code::Unauthorized, Verdict::NotRun));
    break;
  case TicketState::NoTicket:
    break;
  }
  Out.emplace_back(requestEvent(EventKind::TicketIssued, Flow, 0));
  deliver(Flow, To, bareAnswer(Code::Unauthorized, Verdict::NotRun), true, Now,
          Out);
}

/// Answers a request whose ticket is on record: every repetition gets the same
/// outcome.
void Requests::State::onUsedTicket(const FlowKey &Flow,
                                   const TicketCheck &Checked, ReplyTo To,
                                   TimePoint Now, AgentActions &Out) {
  if (Checked.Use->Outcome) {
    Answer Known = *Checked.Use->Outcome;
    if (!Known.Body) {
      const Answer *Held = Answers.find(To.Asked);
      Known = Held != nullptr ? *Held
                              : bareAnswer(Code::GatewayTimeout, Known.Verdict);
    }
    Out.emplace_back(requestEvent(EventKind::DuplicateAnswered, Flow, 0));
    deliver(Flow, To, Known, true, Now, Out);
    return;
  }
  for (auto &[Id, Each] : Jobs) {
    if (Each.UsedTicket != Checked.Id || Each.Work.Flow != Flow)
      continue;
    if (Each.Callers.size() >= MaxCallersOfJob)
      Each.Callers.erase(Each.Callers.begin());
    Each.Callers.push_back(std::move(To));
    return;
  }
}

void Requests::State::accept(const FlowKey &Flow, const Message &Request,
                             ReplyTo To, std::optional<Ticket> Used,
                             TimePoint Now, AgentActions &Out) {
  Job Value;
  Value.Work.Flow = Flow;
  Value.Work.Method = Request.Kind;
  Value.Work.Path = Request.Path;
  Value.Work.Query = Request.Query;
  Value.Work.Body = Request.Payload;
  Value.Work.ContentFormat = Request.ContentFormat;
  const Duration Timeout = std::min(
      Request.Timeout.value_or(Service.RequestTimeout), MaxRequestTimeout);
  Value.Work.Deadline =
      Now + Timeout - std::min(AnswerMargin, Timeout / AnswerMarginShare);
  Value.UsedTicket = Used;
  Value.Callers.push_back(std::move(To));
  Retries.earn(Service.RetryPercent);
  place(add(std::move(Value)), Now, Out);
}

/// The caller cancels the request with the same token. One verdict answers both
/// the request and the cancellation, since they share the token.
void Requests::State::onCancel(const FlowKey &Flow, const Message &Request,
                               ReplyTo To, TimePoint Now, AgentActions &Out) {
  for (auto &[Id, Each] : Jobs) {
    const bool Same =
        Each.Work.Flow == Flow &&
        std::ranges::any_of(Each.Callers, [&](const ReplyTo &Caller) {
          return Caller.Token == Request.Token;
        });
    if (!Same)
      continue;
    acknowledge(To, Out);
    cancel(Each, Now, Out);
    return;
  }
  TicketCheck Checked = Tickets.check(Flow, Request.Echo.value_or(""), Now);
  if (Checked.State == TicketState::Recorded) {
    onUsedTicket(Flow, Checked, std::move(To), Now, Out);
    return;
  }
  Answer Result = bareAnswer(Code::GatewayTimeout, Verdict::MayHaveRun);
  if (Checked.State == TicketState::Fresh ||
      Checked.State == TicketState::Lapsed) {
    // The request may still arrive, so its ticket is burnt before the "not run"
    // answer is sent.
    Result = refusal(Verdict::NotRun, 1s);
    Tickets.use(Flow, Checked);
    Tickets.settle(Flow, Checked.Id, Result);
    Out.emplace_back(requestEvent(EventKind::TicketBurnt, Flow, 0));
  }
  deliver(Flow, To, Result, false, Now, Out);
}

} // namespace dragonflystall
