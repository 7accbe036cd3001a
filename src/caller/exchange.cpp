// The course of one call.
#include "caller/exchange.h"

#include "types/check.h"

#include <algorithm>

namespace dragonflystall {

namespace {

constexpr uint16_t BlockBytes = 1024;
/// How long a cancelled call waits for its verdict.
constexpr Duration CancelWait = 1s;
/// Before a retry when the refusal named no time.
constexpr Duration DefaultRetryAfter = 1s;

bool isSuccess(Code Kind) {
  return Kind >= Code::Created && Kind < Code::BadRequest;
}

} // namespace

Exchange::Exchange(CallId Id, Call What, TimePoint Now)
    : Id_(Id), What_(std::move(What)), Started_(Now),
      Deadline_(Now + What_.Timeout), UploadBlock_(BlockBytes) {}

void Exchange::start(Session &Flow, TimePoint Now, CallerOutput &Out) {
  if (!repeatable())
    Ticket_ = Flow.Tickets.take(Now);
  beginAttempt(Flow, Now, Out);
}

/// From the first block on, with what is left of the timeout.
void Exchange::beginAttempt(Session &Flow, TimePoint Now, CallerOutput &Out) {
  ++Attempts_;
  RetryAt_.reset();
  Uploaded_ = 0;
  RequestTag_ = Flow.newToken();
  Body_.clear();
  Etag_.reset();
  sendPart(Flow, Now, Out);
}

Message Exchange::nextPart(Session &Flow, TimePoint Now) const {
  Message Part;
  Part.Kind = What_.Method;
  Part.MessageId = Flow.NextMessageId;
  Part.Path = What_.Path;
  Part.Query = What_.Query;
  Part.Echo = Ticket_;
  Part.Timeout = std::max(Deadline_ - Now, Duration(1ms));
  if (!Body_.empty()) {
    Part.Block2 = Block{static_cast<uint32_t>(Body_.size() / DownloadBlock_),
                        false, DownloadBlock_};
    return Part;
  }
  Part.Payload = What_.Body.substr(Uploaded_, UploadBlock_);
  if (What_.Body.size() <= UploadBlock_)
    return Part;
  Part.RequestTag = RequestTag_;
  Part.Block1 =
      Block{static_cast<uint32_t>(Uploaded_ / UploadBlock_),
            Uploaded_ + Part.Payload.size() < What_.Body.size(), UploadBlock_};
  return Part;
}

/// Each part and each attempt has a token of its own, so that an answer that
/// comes late or crossed matches nothing.
void Exchange::sendPart(Session &Flow, TimePoint Now, CallerOutput &Out) {
  Message Part = nextPart(Flow, Now);
  Part.MessageId = Flow.newMessageId();
  Part.Token = Flow.newToken();
  check(!TicketSent_ || (Ticket_ && Part.Echo == Ticket_),
        "a request that may have run keeps its ticket");
  TicketSent_ = TicketSent_ || Part.Echo.has_value();
  Sending_.start(Part, Now, Flow.AckTimeout, Flow.Bits);
  Out.Send.push_back(std::move(Part));
}

bool Exchange::matches(const Message &Answer) const {
  return Sending_.active() && Answer.Token == Sending_.message().Token;
}

void Exchange::onAnswer(const Message &Answer, Session &Flow, TimePoint Now,
                        CallerOutput &Out) {
  Sending_.stop();
  if (Answer.Kind == Code::Unauthorized && Answer.Echo && !repeatable())
    return onTicketDemanded(Answer, Flow, Now, Out);
  if (Answer.Echo && Answer.Kind != Code::Unauthorized)
    Flow.Tickets.put(*Answer.Echo, Now);
  if (Answer.Kind == Code::Continue)
    return onContinue(Answer, Flow, Now, Out);
  if (Answer.Kind == Code::RequestEntityIncomplete && !Cancelled_)
    return beginAttempt(Flow, Now, Out);
  const Verdict V = verdictOf(Answer);
  if (Known_ != Verdict::Ran && V != Verdict::Ran &&
      (V == Verdict::NotRun || repeatable()))
    return onRefusal(Answer, V, Now, Out);
  if (isSuccess(Answer.Kind) && onAnswerPart(Answer, Flow, Now, Out))
    return;
  finish(V, &Answer, Now, Out);
}

/// A second demand after the ticket was sent is followed only if it says that
/// nothing ran with the first ticket.
void Exchange::onTicketDemanded(const Message &Answer, Session &Flow,
                                TimePoint Now, CallerOutput &Out) {
  if (Cancelled_ || (TicketSent_ && Answer.Verdict != Verdict::NotRun))
    return finish(verdictWithoutAnswer(), &Answer, Now, Out);
  Ticket_ = Answer.Echo;
  TicketSent_ = false;
  beginAttempt(Flow, Now, Out);
}

/// The receiver may ask for smaller blocks than we offered.
void Exchange::onContinue(const Message &Answer, Session &Flow, TimePoint Now,
                          CallerOutput &Out) {
  Uploaded_ = std::min<size_t>(Uploaded_ + UploadBlock_, What_.Body.size());
  if (Answer.Block1)
    UploadBlock_ = std::min(UploadBlock_, Answer.Block1->Size);
  sendPart(Flow, Now, Out);
}

/// Takes a block of the answer's body in. True while blocks are missing.
bool Exchange::onAnswerPart(const Message &Answer, Session &Flow, TimePoint Now,
                            CallerOutput &Out) {
  if (!Answer.Block2) {
    Body_ = Answer.Payload;
    return false;
  }
  const Block &Part = *Answer.Block2;
  const bool SameVersion = Body_.empty() || Answer.Etag == Etag_;
  const bool InOrder = size_t{Part.Number} * Part.Size == Body_.size();
  if (!SameVersion || !InOrder) {
    if (!repeatable())
      return false;
    beginAttempt(Flow, Now, Out);
    return true;
  }
  if (!repeatable())
    Known_ = Verdict::Ran;
  Body_ += Answer.Payload;
  Etag_ = Answer.Etag;
  DownloadBlock_ = Part.Size;
  if (!Part.More)
    return false;
  sendPart(Flow, Now, Out);
  return true;
}

/// Tries again after the time that the refusal names if the timeout allows.
/// A ticket that was refused is burnt; the next attempt gets a new one.
void Exchange::onRefusal(const Message &Answer, Verdict V, TimePoint Now,
                         CallerOutput &Out) {
  if (V == Verdict::MayHaveRun)
    Known_ = V;
  const Duration Wait = Answer.MaxAge.value_or(DefaultRetryAfter);
  const bool MayRetry = Answer.Kind == Code::ServiceUnavailable ||
                        Answer.Kind == Code::TooManyRequests ||
                        Answer.Kind == Code::GatewayTimeout ||
                        Answer.Kind == Code::BadGateway;
  if (Cancelled_ || !MayRetry || Now + Wait >= Deadline_)
    return finish(V, &Answer, Now, Out);
  Refusal_ = Answer;
  Ticket_.reset();
  TicketSent_ = false;
  RetryAt_ = Now + Wait;
}

void Exchange::onEmpty(const Message &Signal, TimePoint Now,
                       CallerOutput &Out) {
  if (!Sending_.active() || Signal.MessageId != Sending_.message().MessageId)
    return;
  if (Signal.Type == MessageType::Acknowledgement)
    return Sending_.acknowledge();
  if (Signal.Type != MessageType::Reset)
    return;
  Sending_.stop();
  finish(verdictWithoutAnswer(), nullptr, Now, Out);
}

/// Nobody acknowledged any retransmission. The issuer of a ticket at hand may
/// be gone; a request that was sent with its ticket keeps it all the same.
void Exchange::onLost(Session &Flow, TimePoint Now, CallerOutput &Out) {
  Flow.Tickets.clear();
  if (repeatable())
    Known_ = Verdict::MayHaveRun;
  beginAttempt(Flow, Now, Out);
}

void Exchange::cancel(Session &Flow, TimePoint Now, CallerOutput &Out) {
  if (Cancelled_)
    return;
  Cancelled_ = true;
  if (!Sending_.active()) {
    finish(verdictWithoutAnswer(), nullptr, Now, Out);
    return;
  }
  Message Cancel;
  Cancel.Type = MessageType::NonConfirmable;
  Cancel.Kind = What_.Method;
  Cancel.MessageId = Flow.newMessageId();
  Cancel.Token = Sending_.message().Token;
  Cancel.Path = What_.Path;
  Cancel.Query = What_.Query;
  Cancel.Echo = Ticket_;
  Cancel.Cancel = true;
  Out.Send.push_back(std::move(Cancel));
  Deadline_ = std::min(Deadline_, Now + CancelWait);
}

void Exchange::tick(Session &Flow, TimePoint Now, CallerOutput &Out) {
  if (Now >= Deadline_) {
    if (Sending_.active())
      Flow.Tickets.clear();
    return finish(verdictWithoutAnswer(), RetryAt_ ? &Refusal_ : nullptr, Now,
                  Out);
  }
  if (RetryAt_ && Now >= *RetryAt_)
    return start(Flow, Now, Out);
  switch (Sending_.tick(Now)) {
  case Transmission::Step::Nothing:
    return;
  case Transmission::Step::Resend:
    Out.Send.push_back(Sending_.message());
    return;
  case Transmission::Step::GiveUp:
    return onLost(Flow, Now, Out);
  }
}

TimePoint Exchange::nextTick() const {
  return std::min(
      {Deadline_, Sending_.nextTick(), RetryAt_.value_or(TimePoint::max())});
}

/// Servers that know nothing of verdicts: an answer that isn't a refusal says
/// that the request ran; a refusal says nothing once the ticket was sent.
Verdict Exchange::verdictOf(const Message &Answer) const {
  if (Answer.Verdict)
    return *Answer.Verdict;
  if (Answer.Kind == Code::ServiceUnavailable ||
      Answer.Kind == Code::TooManyRequests)
    return verdictWithoutAnswer();
  return Verdict::Ran;
}

/// A POST runs with a ticket only, and a refusal that is being waited out has
/// said for certain that nothing ran.
Verdict Exchange::verdictWithoutAnswer() const {
  if (Known_)
    return *Known_;
  if (RetryAt_)
    return Refusal_.Verdict.value_or(Verdict::MayHaveRun);
  if (!repeatable() && !TicketSent_)
    return Verdict::NotRun;
  return Verdict::MayHaveRun;
}

void Exchange::finish(Verdict V, const Message *Last, TimePoint Now,
                      CallerOutput &Out) {
  Sending_.stop();
  Done_ = true;
  CallResult Result;
  Result.Id = Id_;
  Result.Outcome = V == Verdict::Ran ? V : Known_.value_or(V);
  Result.Took = Now - Started_;
  Result.Attempts = Attempts_;
  if (Last) {
    Result.Kind = Last->Kind;
    Result.Body = isSuccess(Last->Kind) ? Body_ : Last->Payload;
    Result.RetryAfter = Last->MaxAge;
  }
  Out.Done.push_back(std::move(Result));
}

} // namespace dragonflystall
