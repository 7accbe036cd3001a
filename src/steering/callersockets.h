// The sockets on which callers' datagrams arrive and answers are sent: either
// wrapped in PROXY datagrams to and from the fabric, or directly on the service
// addresses.
#ifndef DRAGONFLYSTALL_SRC_STEERING_CALLERSOCKETS_H
#define DRAGONFLYSTALL_SRC_STEERING_CALLERSOCKETS_H

#include "dragonflystall/balancercore.h"
#include "settings/hostsettings.h"
#include "shell/loop.h"
#include "shell/udpsocket.h"

#include <map>
#include <span>

namespace dragonflystall {

class CallerSockets {
public:
  using Receiver = std::function<void(std::span<const CallerPacket>)>;

  /// EventLoop, and everything that OnPackets refers to, must outlive this.
  CallerSockets(Loop &EventLoop, Receiver OnPackets);

  /// Proxy mode: binds the address to which the fabric sends; the error is the
  /// socket's.
  tl::expected<void, std::string> bindProxyAddress(Endpoint Address);
  /// Direct mode: binds the service addresses in the settings, and closes the
  /// sockets of addresses that are no longer in them. Addresses that can't be
  /// bound, such as those this host does not have, are skipped.
  void bindServiceAddresses(const Settings &Value);

  void send(const SendToCaller &Answer);
  void flush();
  /// Number of datagrams without a valid PROXY header.
  uint64_t malformed() const { return Malformed_; }
  /// Number of answers that could not be sent.
  uint64_t dropped() const;

private:
  void onProxyBatch(std::span<const Datagram> Batch);
  void onDirectBatch(Endpoint ServiceAddress, std::span<const Datagram> Batch);

  Loop &EventLoop_;
  Receiver OnPackets_;
  std::unique_ptr<UdpSocket> ProxySocket_;
  /// Source address of the fabric's latest datagram.
  Endpoint FabricAddress_;
  /// By service address.
  std::map<Endpoint, std::unique_ptr<UdpSocket>> DirectSockets_;
  std::vector<CallerPacket> Packets_; ///< Scratch buffer.
  uint64_t Malformed_ = 0;
  uint64_t Unsent_ = 0;
};

} // namespace dragonflystall

#endif
