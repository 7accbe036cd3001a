// Block-wise transfer: uploads are assembled before they are handled as a
// request, and later blocks of an answer are read from the stored answer.
#include "state.h"

namespace dragonflystall {

namespace {

/// The retry-after time if the agent has no room for the body.
constexpr Duration UploadRetryAfter = 2s;

Answer answerFor(UploadStep Failed) {
  switch (Failed) {
  case UploadStep::TooLarge:
    return bareAnswer(Code::RequestEntityTooLarge, Verdict::NotRun);
  case UploadStep::NoRoom:
    return refusal(Verdict::NotRun, UploadRetryAfter);
  default:
    return bareAnswer(Code::RequestEntityIncomplete, Verdict::NotRun);
  }
}

} // namespace

/// The first block must have a ticket, so that a caller without one learns this
/// before it sends the rest of the body.
void Requests::State::onUpload(const FlowKey &Flow, const Message &Part,
                               ReplyTo To, TimePoint Now, AgentActions &Out) {
  const UploadKey Key = uploadKey(Flow, Part);
  if (!isIdempotent(Part.Kind)) {
    const TicketCheck Checked =
        Tickets.check(Flow, Part.Echo.value_or(""), Now);
    const bool First = Part.Block1->Number == 0;
    if ((First && Checked.State != TicketState::Fresh) ||
        Checked.State == TicketState::Recorded) {
      onNonIdempotent(Flow, Part, std::move(To), Now, Out);
      return;
    }
  }
  const UploadStep Step =
      PendingUploads.add(Key, Part, Service.MaxMessageBytes, Now);
  if (Step == UploadStep::More) {
    // No verdict, since the request may still run.
    Message Next;
    Next.Kind = Code::Continue;
    send(Flow, To, std::move(Next), Now, Out);
    return;
  }
  Message Assembled = Part;
  Assembled.Echo = PendingUploads.echo(Key);
  if (Step == UploadStep::Complete) {
    Assembled.Payload = PendingUploads.take(Key);
    onCompleteRequest(Flow, Assembled, std::move(To), Now, Out);
    return;
  }
  PendingUploads.drop(Key);
  refuseUpload(Flow, Assembled, To, answerFor(Step), Now, Out);
}

/// The refusal has the verdict "not run", so the ticket is burnt first. A
/// caller that uses it again is asked to take a new one.
void Requests::State::refuseUpload(const FlowKey &Flow, const Message &Request,
                                   const ReplyTo &To, Answer Refusal,
                                   TimePoint Now, AgentActions &Out) {
  const TicketCheck Checked = Tickets.check(Flow, *Request.Echo, Now);
  if (!isIdempotent(Request.Kind) && Checked.State == TicketState::Fresh) {
    Tickets.use(Flow, Checked);
    Tickets.settle(Flow, Checked.Id,
                   bareAnswer(Code::Unauthorized, Verdict::NotRun));
    Out.emplace_back(requestEvent(EventKind::TicketBurnt, Flow, 0));
  } else if (!isIdempotent(Request.Kind)) {
    // Another request may have used the ticket of this body.
    Refusal.Verdict = Verdict::MayHaveRun;
  }
  deliver(Flow, To, Refusal, false, Now, Out);
}

/// Sends a later block of an answer; never runs the request again.
void Requests::State::onLaterBlock(const FlowKey &Flow, const Message &Request,
                                   const ReplyTo &To, TimePoint Now,
                                   AgentActions &Out) {
  Message Value;
  if (LargeAnswers.copyBlock(To.Resource, *Request.Block2, Now, Value)) {
    send(Flow, To, std::move(Value), Now, Out);
    return;
  }
  deliver(Flow, To,
          bareAnswer(Code::RequestEntityIncomplete, Verdict::MayHaveRun), false,
          Now, Out);
}

} // namespace dragonflystall
