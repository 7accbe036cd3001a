// The balancer's forwarding path: a BalancerCore and its data sockets, without
// the control plane. Used by the daemon and by benchmarks.
#ifndef DRAGONFLYSTALL_SRC_STEERING_FORWARDER_H
#define DRAGONFLYSTALL_SRC_STEERING_FORWARDER_H

#include "dragonflystall/clock.h"
#include "shell/loop.h"
#include "shell/udpsocket.h"
#include "steering/balancercore.h"
#include "steering/callersockets.h"

#include <memory>
#include <span>
#include <string>
#include <tl/expected.hpp>

namespace dragonflystall {

class Forwarder {
public:
  /// The functions are called on the event loop's thread.
  struct Listener {
    std::function<void(const FetchRoster &)> OnFetchRoster;
    std::function<void(const Event &)> OnEvent;
  };

  /// EventLoop must outlive this.
  Forwarder(Loop &EventLoop, BalancerIdentity Self, Listener EventListener);

  /// Binds the address to which agents send answers; the error is the socket's.
  tl::expected<void, std::string> bindDataAddress();
  void handle(const BalancerEvent &Input);

  CallerSockets &callerSockets() { return CallerSockets_; }
  const BalancerCore &core() const { return Core_; }
  /// When the last packet arrived, from a caller or an agent.
  TimePoint lastPacketTime() const { return LastPacketTime_; }
  uint64_t malformed() const { return Malformed_ + CallerSockets_.malformed(); }
  uint64_t unsent() const {
    return DataSocket_->dropped() + CallerSockets_.dropped();
  }

private:
  void perform(const SendPacket &Action);
  void perform(const SendToCaller &Action) { CallerSockets_.send(Action); }
  void perform(const FetchRoster &Action) { Listener_.OnFetchRoster(Action); }
  void perform(const Event &Action) { Listener_.OnEvent(Action); }
  void onCallers(std::span<const CallerPacket> Packets);
  void onInternal(Endpoint From, std::string_view Bytes);

  Loop &EventLoop_;
  Listener Listener_;
  SystemClock Clock_;
  Endpoint DataAddress_;
  BalancerCore Core_;
  CallerSockets CallerSockets_;
  std::unique_ptr<UdpSocket> DataSocket_;
  BalancerActions
      Actions_; ///< Reused, so that handling an event does not allocate.
  std::string HeaderBuffer_; ///< Scratch buffer.
  TimePoint LastPacketTime_{};
  uint64_t Malformed_ = 0;
};

} // namespace dragonflystall

#endif
