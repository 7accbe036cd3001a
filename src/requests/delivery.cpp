// Sends answers to callers: piggybacked on the acknowledgement if that has not
// been sent yet, else as separate messages.
#include "state.h"

#include <algorithm>

namespace dragonflystall {

namespace {

/// Callers retransmit after 2 s; an acknowledgement well before that prevents
/// it.
constexpr Duration AcknowledgeAfter = 100ms;
/// libcoap 4.3.1 fetches the later blocks of the answer to a GET only if the
/// first block was piggybacked on the acknowledgement, so the acknowledgement
/// of a GET is delayed for longer.
constexpr Duration AcknowledgeGetAfter = 1500ms;

Duration acknowledgeAfter(Code Method) {
  return Method == Code::Get ? AcknowledgeGetAfter : AcknowledgeAfter;
}

} // namespace

void Requests::State::deliver(const FlowKey &Flow, const ReplyTo &To,
                              const Answer &Result, bool WithTicket,
                              TimePoint Now, AgentActions &Out) {
  Message Value;
  fillMessage(Result, Value);
  const Block FirstBlock = To.Block2.value_or(Block());
  const size_t Size = std::min(FirstBlock.Size, MaxBlockBytes);
  if (Result.bytes() > Size) {
    LargeAnswers.store(To.Resource, Result, Now);
    LargeAnswers.copyBlock(To.Resource, {0, false, static_cast<uint16_t>(Size)},
                           Now, Value);
  } else if (Result.Body) {
    Value.Payload = *Result.Body;
  }
  if (WithTicket)
    Value.Echo = Tickets.issue(Flow, Service.TicketLifetime, Now);
  send(Flow, To, std::move(Value), Now, Out);
}

/// Addresses the answer, records it for duplicates of the request and sends it.
void Requests::State::send(const FlowKey &Flow, const ReplyTo &To,
                           Message Value, TimePoint Now, AgentActions &Out) {
  const bool Confirmable = To.Type == MessageType::Confirmable;
  Value.Token = To.Token;
  Value.Block1 = To.Block1;
  Value.Type =
      Confirmable ? MessageType::Acknowledgement : MessageType::NonConfirmable;
  Value.MessageId = Confirmable ? To.MessageId : Replies.nextMessageId();
  RecentMessages.finish(Flow, To.Token, To.MessageId, Value);
  if (!Confirmable || !To.Acknowledged) {
    Replies.send(To.Header, std::move(Value), Out);
    return;
  }
  Value.Type = MessageType::Confirmable;
  Value.MessageId = Replies.nextMessageId();
  Replies.sendReliably(To.Header, std::move(Value), Now, Out);
}

void Requests::State::acknowledge(ReplyTo &To, AgentActions &Out) {
  if (To.Type != MessageType::Confirmable)
    return;
  To.Acknowledged = true;
  Message Empty;
  Empty.Type = MessageType::Acknowledgement;
  Empty.MessageId = To.MessageId;
  Replies.send(To.Header, Empty, Out);
}

void Requests::State::acknowledgeSlowJobs(TimePoint Now, AgentActions &Out) {
  for (auto &[Id, ActiveJob] : Jobs)
    for (ReplyTo &To : ActiveJob.Callers)
      if (!To.Acknowledged &&
          Now - To.ReceivedAt >= acknowledgeAfter(ActiveJob.Work.Method))
        acknowledge(To, Out);
}

} // namespace dragonflystall
