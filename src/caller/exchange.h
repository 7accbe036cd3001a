// One call from its start to its result: attempts, the ticket, blocks of the
// request's and the answer's body, and the verdict that holds when it ends.
#ifndef DRAGONFLYSTALL_SRC_CALLER_EXCHANGE_H
#define DRAGONFLYSTALL_SRC_CALLER_EXCHANGE_H

#include "caller/session.h"
#include "caller/transmission.h"
#include "dragonflystall/caller.h"

namespace dragonflystall {

class Exchange {
public:
  Exchange(CallId Id, Call What, TimePoint Now);

  void start(Session &Flow, TimePoint Now, CallerOutput &Out);
  /// True when the answer belongs to the attempt in progress.
  bool matches(const Message &Answer) const;
  void onAnswer(const Message &Answer, Session &Flow, TimePoint Now,
                CallerOutput &Out);
  /// An empty acknowledgement or a reset; others' message ids are ignored.
  void onEmpty(const Message &Signal, TimePoint Now, CallerOutput &Out);
  void cancel(Session &Flow, TimePoint Now, CallerOutput &Out);
  void tick(Session &Flow, TimePoint Now, CallerOutput &Out);
  TimePoint nextTick() const;
  bool done() const { return Done_; }

private:
  bool repeatable() const { return What_.Method != Code::Post; }
  void beginAttempt(Session &Flow, TimePoint Now, CallerOutput &Out);
  void sendPart(Session &Flow, TimePoint Now, CallerOutput &Out);
  Message nextPart(Session &Flow, TimePoint Now) const;
  void onTicketDemanded(const Message &Answer, Session &Flow, TimePoint Now,
                        CallerOutput &Out);
  void onContinue(const Message &Answer, Session &Flow, TimePoint Now,
                  CallerOutput &Out);
  bool onAnswerPart(const Message &Answer, Session &Flow, TimePoint Now,
                    CallerOutput &Out);
  void onRefusal(const Message &Answer, Verdict V, TimePoint Now,
                 CallerOutput &Out);
  void onLost(Session &Flow, TimePoint Now, CallerOutput &Out);
  Verdict verdictOf(const Message &Answer) const;
  Verdict verdictWithoutAnswer() const;
  void finish(Verdict V, const Message *Last, TimePoint Now, CallerOutput &Out);

  CallId Id_;
  Call What_;
  TimePoint Started_;
  TimePoint Deadline_;
  uint32_t Attempts_ = 0;
  bool Done_ = false;
  bool Cancelled_ = false;
  Transmission Sending_;
  /// Set while waiting for a refusal's retry-after.
  std::optional<TimePoint> RetryAt_;
  /// The refusal that RetryAt_ waits out.
  Message Refusal_;

  std::optional<std::string> Ticket_;
  /// What an earlier attempt proved (Ran) or left open (MayHaveRun); the call's
  /// verdict can't be better than that.
  std::optional<Verdict> Known_;
  /// Invariant: once a message with Ticket_ was sent, every later message of
  /// the call bears the same ticket, until an answer says for certain that the
  /// request did not run with it.
  bool TicketSent_ = false;

  // Upload: bytes of the request's body that were taken, and the block size.
  size_t Uploaded_ = 0;
  uint16_t UploadBlock_;
  std::string RequestTag_; ///< RFC 9175, one for each upload.
  // Download: what came so far and of which version it is.
  std::string Body_;
  std::optional<std::string> Etag_;
  uint16_t DownloadBlock_ = 0;
};

} // namespace dragonflystall

#endif
