// Gives answers to callers: piggybacked on the acknowledgement while that is
// still open, else as a message of their own.
#include "state.h"

namespace dragonflystall {

namespace {

/// A caller retransmits after 2 s; an acknowledgement well before stops it.
constexpr Duration AcknowledgeAfter = 100ms;

} // namespace

void Requests::State::deliver(const FlowKey &Flow, ReplyTo To,
                              const Answer &Result, bool WithTicket,
                              TimePoint Now, AgentActions &Out) {
  Message Value;
  Value.Token = To.Token;
  describe(Result, Value);
  Value.Block1 = To.Block1;
  if (WithTicket)
    Value.Echo = Tickets.issue(Flow, Service.TicketLifetime, Now);
  if (Result.Body)
    Value.Payload = *Result.Body;
  const bool Confirmable = To.Type == MessageType::Confirmable;
  if (Confirmable && !To.Acknowledged) {
    Value.Type = MessageType::Acknowledgement;
    Value.MessageId = To.MessageId;
  } else {
    Value.Type =
        Confirmable ? MessageType::Confirmable : MessageType::NonConfirmable;
    Value.MessageId = Replies.nextMessageId();
  }
  Message Given = Value;
  if (Confirmable) {
    Given.Type = MessageType::Acknowledgement;
    Given.MessageId = To.MessageId;
  }
  Recent.finish(Flow, To.Token, To.MessageId, Given);
  if (Value.Type == MessageType::Confirmable)
    Replies.sendReliably(To.Header, std::move(Value), Now, Out);
  else
    Replies.send(To.Header, std::move(Value), Out);
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

void Requests::State::acknowledgeSlow(TimePoint Now, AgentActions &Out) {
  for (auto &[Id, Each] : Jobs)
    for (ReplyTo &To : Each.Callers)
      if (!To.Acknowledged && Now - To.At >= AcknowledgeAfter)
        acknowledge(To, Out);
}

} // namespace dragonflystall
