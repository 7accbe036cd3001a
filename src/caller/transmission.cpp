// Retransmission with exponential backoff.
#include "caller/transmission.h"

namespace dragonflystall {

namespace {

// RFC 7252, section 4.8.
constexpr double AckRandomFactor = 1.5;
constexpr uint32_t MaxRetransmit = 4;

} // namespace

void Transmission::start(Message Sent, TimePoint Now, Duration AckTimeout,
                         Random &Bits) {
  std::uniform_real_distribution<double> Factor(1.0, AckRandomFactor);
  Sent_ = std::move(Sent);
  Active_ = true;
  Acknowledged_ = false;
  Retransmissions_ = 0;
  Interval_ = std::chrono::duration_cast<Duration>(AckTimeout * Factor(Bits));
  Due_ = Now + Interval_;
}

void Transmission::acknowledge() { Acknowledged_ = true; }

Transmission::Step Transmission::tick(TimePoint Now) {
  if (!Active_ || Acknowledged_ || Now < Due_)
    return Step::Nothing;
  if (Retransmissions_ == MaxRetransmit) {
    Active_ = false;
    return Step::GiveUp;
  }
  ++Retransmissions_;
  Interval_ *= 2;
  Due_ = Now + Interval_;
  return Step::Resend;
}

TimePoint Transmission::nextTick() const {
  return Active_ && !Acknowledged_ ? Due_ : TimePoint::max();
}

} // namespace dragonflystall
