// Retransmission of one confirmable message by RFC 7252, section 4.2, until it
// is acknowledged or answered, or the retransmissions are exhausted.
#ifndef DRAGONFLYSTALL_SRC_CALLER_TRANSMISSION_H
#define DRAGONFLYSTALL_SRC_CALLER_TRANSMISSION_H

#include "dragonflystall/clock.h"
#include "dragonflystall/message.h"

namespace dragonflystall {

class Transmission {
public:
  enum class Step : uint8_t { Nothing, Resend, GiveUp };

  /// Starts the retransmission timer for a message that was just sent.
  void start(Message Sent, TimePoint Now, Duration AckTimeout, Random &Bits);
  /// Stops retransmission: the peer has the message and will send a separate
  /// response.
  void acknowledge();
  void stop() { Active_ = false; }
  Step tick(TimePoint Now);

  bool active() const { return Active_; }
  const Message &message() const { return Sent_; }
  TimePoint nextTick() const;

private:
  Message Sent_;
  bool Active_ = false;
  bool Acknowledged_ = false;
  uint32_t Retransmissions_ = 0;
  Duration Interval_{};
  TimePoint Due_{};
};

} // namespace dragonflystall

#endif
