// One call from its start to its result: attempts, the ticket, blocks of the
// request's and the answer's body, and the final verdict.
#ifndef DRAGONFLYSTALL_SRC_CALLER_EXCHANGE_H
#define DRAGONFLYSTALL_SRC_CALLER_EXCHANGE_H

#include "caller/session.h"
#include "caller/transmission.h"
#include "dragonflystall/caller.h"

namespace dragonflystall {

class Exchange {
public:
  Exchange(CallId Id, Call Request, TimePoint Now);

  void start(Session &Flow, TimePoint Now, CallerOutput &Out);
  /// Whether the answer belongs to the message in transmission.
  bool matches(const Message &Answer) const;
  void onAnswer(const Message &Answer, Session &Flow, TimePoint Now,
                CallerOutput &Out);
  /// Handles an empty acknowledgement or a reset. Message ids of other calls
  /// are ignored.
  void onEmpty(const Message &Signal, TimePoint Now, CallerOutput &Out);
  void cancel(Session &Flow, TimePoint Now, CallerOutput &Out);
  void tick(Session &Flow, TimePoint Now, CallerOutput &Out);
  TimePoint nextTick() const;
  bool done() const { return Done_; }

private:
  bool isIdempotent() const { return Request_.Method != Code::Post; }
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
  Call Request_;
  TimePoint Started_;
  TimePoint Deadline_;
  uint32_t Attempts_ = 0;
  bool Done_ = false;
  bool Cancelled_ = false;
  Transmission Transmission_;
  /// Time of the next attempt. Set while the retry-after time of a refusal is
  /// running.
  std::optional<TimePoint> RetryAt_;
  /// The refusal from which RetryAt_ was set.
  Message Refusal_;

  std::optional<std::string> Ticket_;
  /// Ran if an earlier attempt proved that the request ran, MayHaveRun if it
  /// left that uncertain. The call's verdict must not be more favourable.
  std::optional<Verdict> EarlierVerdict_;
  /// Invariant: once a message with Ticket_ was sent, every later message of
  /// the call contains the same ticket, until an answer confirms that the
  /// request did not run with it.
  bool TicketSent_ = false;

  // Upload: bytes of the request's body that the receiver has accepted, and the
  // block size.
  size_t Uploaded_ = 0;
  uint16_t UploadBlock_;
  std::string RequestTag_; ///< RFC 9175, one for each upload.
  // Download: the body received so far, and the entity tag of its version.
  std::string Body_;
  std::optional<std::string> Etag_;
  uint16_t DownloadBlock_ = 0;
};

} // namespace dragonflystall

#endif
