// Builds refusals and the headers of replies.
#include "reply.h"

namespace dragonflystall {

Message answerTo(const Message &Request, Code Kind, Verdict Outcome,
                 uint16_t MessageId) {
  const bool Piggyback = Request.Type == MessageType::Confirmable;
  Message Answer;
  Answer.Type =
      Piggyback ? MessageType::Acknowledgement : MessageType::NonConfirmable;
  Answer.Kind = Kind;
  Answer.MessageId = Piggyback ? Request.MessageId : MessageId;
  Answer.Token = Request.Token;
  Answer.Verdict = Outcome;
  return Answer;
}

Message refusalTo(const Message &Request, Verdict Outcome, Duration RetryAfter,
                  uint16_t MessageId) {
  Message Answer =
      answerTo(Request, Code::ServiceUnavailable, Outcome, MessageId);
  Answer.MaxAge = RetryAfter;
  Answer.Payload = name(Outcome);
  return Answer;
}

PacketHeader replyHeader(const PacketHeader &Request, AgentId Holder) {
  PacketHeader Reply = Request;
  Reply.Kind = PacketKind::Reply;
  Reply.Hops = 0;
  Reply.Placed = false;
  Reply.Holder = Holder;
  return Reply;
}

} // namespace dragonflystall
