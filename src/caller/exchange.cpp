// Attempts, retries, block-wise transfer (RFC 7959) and verdicts of one call.
#include "caller/exchange.h"

#include "types/check.h"

#include <algorithm>

namespace dragonflystall {

namespace {

constexpr uint16_t BlockBytes = 1024;
/// Time that a cancelled call waits for an answer with its verdict.
constexpr Duration CancelTimeout = 1s;
/// Delay before a retry when the refusal has no Max-Age option.
constexpr Duration DefaultRetryAfter = 1s;

bool isSuccess(Code Kind) {
  return Kind >= Code::Created && Kind < Code::BadRequest;
}

} // namespace

Exchange::Exchange(CallId Id, Call Request, TimePoint Now)
    : Id_(Id), Request_(std::move(Request)), Started_(Now),
      Deadline_(Now + Request_.Timeout), UploadBlock_(BlockBytes) {}

void Exchange::start(Session &Flow, TimePoint Now, CallerOutput &Out) {
  if (!isIdempotent())
    Ticket_ = Flow.Tickets.take(Now);
  beginAttempt(Flow, Now, Out);
}

/// Starts from the first block, with the remaining part of the timeout.
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
  Part.Kind = Request_.Method;
  Part.MessageId = Flow.NextMessageId;
  Part.Path = Request_.Path;
  Part.Query = Request_.Query;
  Part.Echo = Ticket_;
  Part.Timeout = std::max(Deadline_ - Now, Duration(1ms));
  if (!Body_.empty()) {
    Part.Block2 = Block{static_cast<uint32_t>(Body_.size() / DownloadBlock_),
                        false, DownloadBlock_};
    return Part;
  }
  Part.Payload = Request_.Body.substr(Uploaded_, UploadBlock_);
  if (Request_.Body.size() <= UploadBlock_)
    return Part;
  Part.RequestTag = RequestTag_;
  Part.Block1 = Block{static_cast<uint32_t>(Uploaded_ / UploadBlock_),
                      Uploaded_ + Part.Payload.size() < Request_.Body.size(),
                      UploadBlock_};
  return Part;
}

/// Each part and each attempt has a new token, so that answers that arrive late
/// or out of order match no message in transmission.
void Exchange::sendPart(Session &Flow, TimePoint Now, CallerOutput &Out) {
  Message Part = nextPart(Flow, Now);
  Part.MessageId = Flow.newMessageId();
  Part.Token = Flow.newToken();
  check(!TicketSent_ || (Ticket_ && Part.Echo == Ticket_),
        "a request that may have run keeps its ticket");
  TicketSent_ = TicketSent_ || Part.Echo.has_value();
  Transmission_.start(Part, Now, Flow.AckTimeout, Flow.Bits);
  Out.Send.push_back(std::move(Part));
}

bool Exchange::matches(const Message &Answer) const {
  return Transmission_.active() &&
         Answer.Token == Transmission_.message().Token;
}

void Exchange::onAnswer(const Message &Answer, Session &Flow, TimePoint Now,
                        CallerOutput &Out) {
  Transmission_.stop();
  if (Answer.Kind == Code::Unauthorized && Answer.Echo && !isIdempotent())
    return onTicketDemanded(Answer, Flow, Now, Out);
  if (Answer.Echo && Answer.Kind != Code::Unauthorized)
    Flow.Tickets.put(*Answer.Echo, Now);
  if (Answer.Kind == Code::Continue)
    return onContinue(Answer, Flow, Now, Out);
  if (Answer.Kind == Code::RequestEntityIncomplete && !Cancelled_)
    return beginAttempt(Flow, Now, Out);
  const Verdict V = verdictOf(Answer);
  if (EarlierVerdict_ != Verdict::Ran && V != Verdict::Ran &&
      (V == Verdict::NotRun || isIdempotent()))
    return onRefusal(Answer, V, Now, Out);
  if (isSuccess(Answer.Kind) && onAnswerPart(Answer, Flow, Now, Out))
    return;
  finish(V, &Answer, Now, Out);
}

/// After the ticket was sent, a second demand for a ticket is accepted only if
/// its verdict is that the request did not run with the first ticket.
void Exchange::onTicketDemanded(const Message &Answer, Session &Flow,
                                TimePoint Now, CallerOutput &Out) {
  if (Cancelled_ || (TicketSent_ && Answer.Verdict != Verdict::NotRun))
    return finish(verdictWithoutAnswer(), &Answer, Now, Out);
  Ticket_ = Answer.Echo;
  TicketSent_ = false;
  beginAttempt(Flow, Now, Out);
}

/// The receiver may ask for smaller blocks than those sent so far.
void Exchange::onContinue(const Message &Answer, Session &Flow, TimePoint Now,
                          CallerOutput &Out) {
  Uploaded_ = std::min<size_t>(Uploaded_ + UploadBlock_, Request_.Body.size());
  if (Answer.Block1)
    UploadBlock_ = std::min(UploadBlock_, Answer.Block1->Size);
  sendPart(Flow, Now, Out);
}

/// Appends a block of the answer's body. Returns true if the exchange
/// continues: further blocks are missing, or the call was started again.
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
    if (!isIdempotent())
      return false;
    beginAttempt(Flow, Now, Out);
    return true;
  }
  if (!isIdempotent())
    EarlierVerdict_ = Verdict::Ran;
  Body_ += Answer.Payload;
  Etag_ = Answer.Etag;
  DownloadBlock_ = Part.Size;
  if (!Part.More)
    return false;
  sendPart(Flow, Now, Out);
  return true;
}

/// Schedules a retry after the time given in the refusal, if the timeout allows
/// it. A refused ticket cannot be used again; the next attempt gets a new one.
void Exchange::onRefusal(const Message &Answer, Verdict V, TimePoint Now,
                         CallerOutput &Out) {
  if (V == Verdict::MayHaveRun)
    EarlierVerdict_ = V;
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
  if (!Transmission_.active() ||
      Signal.MessageId != Transmission_.message().MessageId)
    return;
  if (Signal.Type == MessageType::Acknowledgement)
    return Transmission_.acknowledge();
  if (Signal.Type != MessageType::Reset)
    return;
  Transmission_.stop();
  finish(verdictWithoutAnswer(), nullptr, Now, Out);
}

/// No retransmission was acknowledged. The issuer of the pooled tickets may
/// have failed, so the pool is cleared. A request already sent with a ticket
/// keeps its ticket nevertheless.
void Exchange::onLost(Session &Flow, TimePoint Now, CallerOutput &Out) {
  Flow.Tickets.clear();
  if (isIdempotent())
    EarlierVerdict_ = Verdict::MayHaveRun;
  beginAttempt(Flow, Now, Out);
}

void Exchange::cancel(Session &Flow, TimePoint Now, CallerOutput &Out) {
  if (Cancelled_)
    return;
  Cancelled_ = true;
  if (!Transmission_.active()) {
    finish(verdictWithoutAnswer(), nullptr, Now, Out);
    return;
  }
  Message Cancel;
  Cancel.Type = MessageType::NonConfirmable;
  Cancel.Kind = Request_.Method;
  Cancel.MessageId = Flow.newMessageId();
  Cancel.Token = Transmission_.message().Token;
  Cancel.Path = Request_.Path;
  Cancel.Query = Request_.Query;
  Cancel.Echo = Ticket_;
  Cancel.Cancel = true;
  Out.Send.push_back(std::move(Cancel));
  Deadline_ = std::min(Deadline_, Now + CancelTimeout);
}

void Exchange::tick(Session &Flow, TimePoint Now, CallerOutput &Out) {
  if (Now >= Deadline_) {
    if (Transmission_.active())
      Flow.Tickets.clear();
    return finish(verdictWithoutAnswer(), RetryAt_ ? &Refusal_ : nullptr, Now,
                  Out);
  }
  if (RetryAt_ && Now >= *RetryAt_)
    return start(Flow, Now, Out);
  switch (Transmission_.tick(Now)) {
  case Transmission::Step::Nothing:
    return;
  case Transmission::Step::Resend:
    Out.Send.push_back(Transmission_.message());
    return;
  case Transmission::Step::GiveUp:
    return onLost(Flow, Now, Out);
  }
}

TimePoint Exchange::nextTick() const {
  return std::min({Deadline_, Transmission_.nextTick(),
                   RetryAt_.value_or(TimePoint::max())});
}

/// For answers of servers that do not send verdicts: an answer other than a
/// refusal means that the request ran. A refusal proves nothing once the ticket
/// was sent.
Verdict Exchange::verdictOf(const Message &Answer) const {
  if (Answer.Verdict)
    return *Answer.Verdict;
  if (Answer.Kind == Code::ServiceUnavailable ||
      Answer.Kind == Code::TooManyRequests)
    return verdictWithoutAnswer();
  return Verdict::Ran;
}

/// A POST request can run only with a ticket, so it did not run if no ticket
/// was sent. During the wait after a refusal no message is in transmission, so
/// the refusal's verdict applies.
Verdict Exchange::verdictWithoutAnswer() const {
  if (EarlierVerdict_)
    return *EarlierVerdict_;
  if (RetryAt_)
    return Refusal_.Verdict.value_or(Verdict::MayHaveRun);
  if (!isIdempotent() && !TicketSent_)
    return Verdict::NotRun;
  return Verdict::MayHaveRun;
}

void Exchange::finish(Verdict V, const Message *Last, TimePoint Now,
                      CallerOutput &Out) {
  Transmission_.stop();
  Done_ = true;
  CallResult Result;
  Result.Id = Id_;
  Result.Outcome = V == Verdict::Ran ? V : EarlierVerdict_.value_or(V);
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
