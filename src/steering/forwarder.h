// The balancer's forwarding path: sockets round a BalancerCore, without the
// control side. A daemon and a measurement both run it.
#ifndef DRAGONFLYSTALL_SRC_STEERING_FORWARDER_H
#define DRAGONFLYSTALL_SRC_STEERING_FORWARDER_H

#include "dragonflystall/clock.h"
#include "shell/loop.h"
#include "shell/udpsocket.h"
#include "steering/balancercore.h"
#include "steering/entry.h"

#include <memory>
#include <span>
#include <string>
#include <tl/expected.hpp>

namespace dragonflystall {

class Forwarder {
public:
  /// Called on the loop's thread.
  struct Listener {
    std::function<void(const WantRoster &)> OnWantRoster;
    std::function<void(const Event &)> OnEvent;
  };

  /// Owner must outlive this.
  Forwarder(Loop &Owner, BalancerIdentity Self, Listener Control);

  /// Binds the address to which agents send answers.
  tl::expected<void, std::string> openData();
  void handle(const BalancerEvent &What);

  Entry &entry() { return Entry_; }
  const BalancerCore &core() const { return Core_; }
  /// When the last packet came in, from either side.
  TimePoint lastPacket() const { return LastPacket_; }
  uint64_t malformed() const { return Malformed_ + Entry_.malformed(); }
  uint64_t unsent() const { return Data_->dropped() + Entry_.dropped(); }

private:
  void carryOut(const SendPacket &Action);
  void carryOut(const SendToCaller &Action) { Entry_.send(Action); }
  void carryOut(const WantRoster &Action) { Control_.OnWantRoster(Action); }
  void carryOut(const Event &Action) { Control_.OnEvent(Action); }
  void onCallers(std::span<const CallerPacket> Packets);
  void onInternal(Endpoint From, std::string_view Bytes);

  Loop &Owner_;
  Listener Control_;
  SystemClock Clock_;
  Endpoint Local_;
  BalancerCore Core_;
  Entry Entry_;
  std::unique_ptr<UdpSocket> Data_;
  BalancerActions Actions_; ///< Scratch, so that handling allocates nothing.
  std::string Header_;      ///< Scratch.
  TimePoint LastPacket_{};
  uint64_t Malformed_ = 0;
};

} // namespace dragonflystall

#endif
