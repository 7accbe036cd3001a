// Packets that callers have sent before the balancer has a manifest.
// Load pattern: after a loss of all power, callers return while the balancers
// still read their first manifest.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_EARLYPACKETS_H
#define DRAGONFLYSTALL_SRC_OPAQUE_EARLYPACKETS_H

#include "dragonflystall/clock.h"
#include "opaque/packet.h"

#include <algorithm>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystall::opaque {

class EarlyPackets {
public:
  static constexpr size_t MaxPackets = 512;
  static constexpr size_t MaxBytes = 1 << 20;
  /// A caller ends its attempt to open a flow after this time.
  static constexpr Duration MaxAge = 1400ms;

  /// Holds a packet, unless a limit is reached. A repeated SYN replaces the one
  /// before it, since both would open flows at different upstreams.
  void hold(const PacketHead &Head, std::string_view Bytes, TimePoint Now) {
    expire(Now);
    if (Head.opens())
      dropSynOf(Head.fromCaller());
    if (Packets_.size() >= MaxPackets || Bytes_ + Bytes.size() > MaxBytes)
      return;
    Bytes_ += Bytes.size();
    Packets_.push_back({{Head, std::string(Bytes)}, Now});
  }
  /// Drops packets older than MaxAge.
  void expire(TimePoint Now) {
    while (!Packets_.empty() && Now - Packets_.front().Arrived > MaxAge) {
      Bytes_ -= Packets_.front().Packet.Bytes.size();
      Packets_.pop_front();
    }
  }
  /// Removes the packets that are not too old and returns them in the order of
  /// their arrival.
  std::vector<HeldPacket> take(TimePoint Now) {
    expire(Now);
    std::vector<HeldPacket> Taken;
    Taken.reserve(Packets_.size());
    for (Early &E : Packets_)
      Taken.push_back(std::move(E.Packet));
    Packets_.clear();
    Bytes_ = 0;
    return Taken;
  }
  size_t size() const { return Packets_.size(); }

private:
  struct Early {
    HeldPacket Packet;
    TimePoint Arrived;
  };

  void dropSynOf(const FlowId &Flow) {
    const auto It =
        std::find_if(Packets_.begin(), Packets_.end(), [&](const Early &E) {
          return E.Packet.Head.opens() && E.Packet.Head.fromCaller() == Flow;
        });
    if (It == Packets_.end())
      return;
    Bytes_ -= It->Packet.Bytes.size();
    Packets_.erase(It);
  }

  std::deque<Early> Packets_; ///< In the order of their arrival.
  size_t Bytes_ = 0;          ///< Of all packets.
};

} // namespace dragonflystall::opaque

#endif
