// Where callers' datagrams come in and answers go out: in PROXY datagrams of
// the fabric, or on the service addresses themselves.
#ifndef DRAGONFLYSTALL_SRC_STEERING_ENTRY_H
#define DRAGONFLYSTALL_SRC_STEERING_ENTRY_H

#include "dragonflystall/balancercore.h"
#include "settings/hostsettings.h"
#include "shell/loop.h"
#include "shell/udpsocket.h"

#include <map>
#include <span>

namespace dragonflystall {

class Entry {
public:
  using Receiver = std::function<void(std::span<const CallerPacket>)>;

  /// All must outlive the entry.
  Entry(Loop &Owner, Receiver OnPackets);

  /// Proxy mode: binds the entry address.
  tl::expected<void, std::string> openProxy(Endpoint Local);
  /// Direct mode: binds the service addresses of the settings, and closes those
  /// that are no longer in them. Addresses that this host lacks are skipped.
  void bindServices(const Settings &Value);

  void send(const SendToCaller &Answer);
  void flush();
  /// Datagrams without a valid PROXY header.
  uint64_t malformed() const { return Malformed_; }
  /// Datagrams that no socket could take.
  uint64_t dropped() const;

private:
  void onProxied(std::span<const Datagram> Batch);
  void onDirect(Endpoint ServiceAddress, std::span<const Datagram> Batch);

  Loop &Owner_;
  Receiver OnPackets_;
  std::unique_ptr<UdpSocket> Proxy_;
  /// The fabric's address, from its newest datagram.
  Endpoint Fabric_;
  /// By service address.
  std::map<Endpoint, std::unique_ptr<UdpSocket>> Direct_;
  std::vector<CallerPacket> Packets_; ///< Scratch.
  uint64_t Malformed_ = 0;
  uint64_t Unsent_ = 0;
};

} // namespace dragonflystall

#endif
