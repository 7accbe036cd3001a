// Receives callers' datagrams and sends answers, through the fabric or
// directly.
#include "callersockets.h"

#include "wire/proxy.h"

#include <algorithm>

namespace dragonflystall {

CallerSockets::CallerSockets(Loop &EventLoop, Receiver OnPackets)
    : EventLoop_(EventLoop), OnPackets_(std::move(OnPackets)) {}

tl::expected<void, std::string>
CallerSockets::bindProxyAddress(Endpoint Address) {
  auto Socket = UdpSocket::bind(Address);
  if (!Socket)
    return tl::unexpected(Socket.error());
  ProxySocket_ = std::move(*Socket);
  EventLoop_.watch(ProxySocket_->descriptor(), [this] {
    ProxySocket_->receiveBatches(
        [this](std::span<const Datagram> Batch) { onProxyBatch(Batch); });
  });
  return {};
}

void CallerSockets::bindServiceAddresses(const Settings &Value) {
  std::erase_if(DirectSockets_, [&](const auto &BoundSocket) {
    if (Value.serviceAt(BoundSocket.first))
      return false;
    EventLoop_.unwatch(BoundSocket.second->descriptor());
    return true;
  });
  for (const ServiceSettings &Service : Value.Services) {
    for (Endpoint Address : Service.Addresses) {
      if (DirectSockets_.contains(Address))
        continue;
      auto Socket = UdpSocket::bind(Address);
      if (!Socket)
        continue;
      UdpSocket *BoundSocket = Socket->get();
      DirectSockets_[Address] = std::move(*Socket);
      EventLoop_.watch(BoundSocket->descriptor(), [this, Address, BoundSocket] {
        BoundSocket->receiveBatches([&](std::span<const Datagram> Batch) {
          onDirectBatch(Address, Batch);
        });
      });
    }
  }
}

void CallerSockets::onProxyBatch(std::span<const Datagram> Batch) {
  Packets_.clear();
  for (const Datagram &Received : Batch) {
    const auto Parsed = wire::parseProxy(Received.Bytes);
    if (!Parsed) {
      ++Malformed_;
      continue;
    }
    FabricAddress_ = Received.From;
    Packets_.push_back({Parsed->Source, Parsed->Destination, Parsed->Payload});
  }
  OnPackets_(Packets_);
}

void CallerSockets::onDirectBatch(Endpoint ServiceAddress,
                                  std::span<const Datagram> Batch) {
  Packets_.clear();
  for (const Datagram &Received : Batch)
    Packets_.push_back({Received.From, ServiceAddress, Received.Bytes});
  OnPackets_(Packets_);
}

void CallerSockets::send(const SendToCaller &Answer) {
  if (ProxySocket_ && FabricAddress_) {
    const wire::ProxyHeader Header =
        wire::encodeProxy(Answer.ServiceAddress, Answer.Caller);
    ProxySocket_->send(FabricAddress_, wire::view(Header), Answer.Payload);
    return;
  }
  auto Found = DirectSockets_.find(Answer.ServiceAddress);
  if (Found != DirectSockets_.end())
    Found->second->send(Answer.Caller, Answer.Payload);
  else
    ++Unsent_;
}

void CallerSockets::flush() {
  if (ProxySocket_)
    ProxySocket_->flush();
  for (const auto &BoundSocket : DirectSockets_)
    BoundSocket.second->flush();
}

uint64_t CallerSockets::dropped() const {
  uint64_t Sum = Unsent_ + (ProxySocket_ ? ProxySocket_->dropped() : 0);
  for (const auto &BoundSocket : DirectSockets_)
    Sum += BoundSocket.second->dropped();
  return Sum;
}

} // namespace dragonflystall
