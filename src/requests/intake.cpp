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

ReplyTo replyDestination(const AgentPacket &Packet, TimePoint Now) {
  ReplyTo To;
  To.Header = Packet.Header;
  To.Type = Packet.Decoded.Type;
  To.MessageId = Packet.Decoded.MessageId;
  To.Token = Packet.Decoded.Token;
  To.Resource = {flowOf(Packet.Header), Packet.Decoded.Kind,
                 Packet.Decoded.Path, Packet.Decoded.Query};
  To.Block1 = Packet.Decoded.Block1;
  To.Block2 = Packet.Decoded.Block2;
  To.ReceivedAt = Now;
  return To;
}

} // namespace

void Requests::State::onMessage(const AgentPacket &Packet, TimePoint Now,
                                AgentActions &Out) {
  LastEventAt = Now;
  const Message &Value = Packet.Decoded;
  const FlowKey Flow = flowOf(Packet.Header);
  Replies.noteBalancer(Packet.Header.Balancer, Now);
  updateBalancer(Flow, Packet.Header.Balancer);
  if (Value.Type == MessageType::Acknowledgement ||
      Value.Type == MessageType::Reset) {
    Replies.acknowledged(Flow, Value.MessageId);
    return;
  }
  ReplyTo To = replyDestination(Packet, Now);
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
  if (const Duplicates::Entry *Duplicate = RecentMessages.find(Flow, Value)) {
    answerDuplicate(Flow, *Duplicate, To, Out);
    return;
  }
  RecentMessages.begin(Flow, Value, Now);
  if (Value.Cancel)
    onCancel(Flow, Value, std::move(To), Now, Out);
  else
    onRequest(Flow, Value, std::move(To), Now, Out);
}

/// Sends further answers through the balancer that forwarded the caller's most
/// recent packet.
void Requests::State::updateBalancer(const FlowKey &Flow, Endpoint Balancer) {
  if (!Balancer)
    return;
  Replies.setBalancer(Flow, Balancer);
  if (!JobsPerFlow.contains(Flow))
    return;
  for (auto &[Id, ActiveJob] : Jobs)
    if (ActiveJob.Work.Flow == Flow)
      for (ReplyTo &To : ActiveJob.Callers)
        To.Header.Balancer = Balancer;
}

void Requests::State::answerDuplicate(const FlowKey &Flow,
                                      const Duplicates::Entry &Record,
                                      const ReplyTo &To, AgentActions &Out) {
  if (To.Type != MessageType::Confirmable && !Record.Reply)
    return;
  Out.emplace_back(requestEvent(EventKind::DuplicateAnswered, Flow, 0));
  if (Record.Reply) {
    Replies.send(To.Header, *Record.Reply, Out);
    return;
  }
  ReplyTo Destination = To;
  acknowledge(Destination, Out);
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
    onCompleteRequest(Flow, Request, std::move(To), Now, Out);
}

/// Handles a request whose body is complete.
void Requests::State::onCompleteRequest(const FlowKey &Flow,
                                        const Message &Request, ReplyTo To,
                                        TimePoint Now, AgentActions &Out) {
  if (isIdempotent(Request.Kind))
    accept(Flow, Request, std::move(To), std::nullopt, Now, Out);
  else
    onNonIdempotent(Flow, Request, std::move(To), Now, Out);
}

void Requests::State::onNonIdempotent(const FlowKey &Flow,
                                      const Message &Request, ReplyTo To,
                                      TimePoint Now, AgentActions &Out) {
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
    Answer Outcome = *Checked.Use->Outcome;
    if (!Outcome.Body) {
      const Answer *Stored = LargeAnswers.find(To.Resource);
      Outcome = Stored != nullptr
                    ? *Stored
                    : bareAnswer(Code::GatewayTimeout, Outcome.Verdict);
    }
    Out.emplace_back(requestEvent(EventKind::DuplicateAnswered, Flow, 0));
    deliver(Flow, To, Outcome, true, Now, Out);
    return;
  }
  for (auto &[Id, ActiveJob] : Jobs) {
    if (ActiveJob.UsedTicket != Checked.Id || ActiveJob.Work.Flow != Flow)
      continue;
    if (ActiveJob.Callers.size() >= MaxCallersOfJob)
      ActiveJob.Callers.erase(ActiveJob.Callers.begin());
    ActiveJob.Callers.push_back(std::move(To));
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
  Hedges.onRequest(Now);
  dispatch(addJob(std::move(Value)), Now, Out);
}

/// The caller cancels the request with the same token. One verdict answers both
/// the request and the cancellation, since they share the token.
void Requests::State::onCancel(const FlowKey &Flow, const Message &Request,
                               ReplyTo To, TimePoint Now, AgentActions &Out) {
  for (auto &[Id, ActiveJob] : Jobs) {
    const bool IsMatch =
        ActiveJob.Work.Flow == Flow &&
        std::ranges::any_of(ActiveJob.Callers, [&](const ReplyTo &Caller) {
          return Caller.Token == Request.Token;
        });
    if (!IsMatch)
      continue;
    acknowledge(To, Out);
    cancel(ActiveJob, Now, Out);
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
