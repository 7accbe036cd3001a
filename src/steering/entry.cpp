// Receiving and answering callers, through the fabric or directly.
#include "entry.h"

#include "wire/proxy.h"

#include <algorithm>

namespace dragonflystall {

Entry::Entry(Loop &Owner, Receiver OnPackets)
    : Owner_(Owner), OnPackets_(std::move(OnPackets)) {}

tl::expected<void, std::string> Entry::openProxy(Endpoint Local) {
  auto Socket = UdpSocket::bind(Local);
  if (!Socket)
    return tl::unexpected(Socket.error());
  Proxy_ = std::move(*Socket);
  Owner_.watch(Proxy_->descriptor(), [this] {
    Proxy_->receiveBatches(
        [this](std::span<const Datagram> Batch) { onProxied(Batch); });
  });
  return {};
}

void Entry::bindServices(const Settings &Value) {
  std::erase_if(Direct_, [&](const auto &Bound) {
    if (Value.serviceAt(Bound.first))
      return false;
    Owner_.unwatch(Bound.second->descriptor());
    return true;
  });
  for (const ServiceSettings &Service : Value.Services) {
    for (Endpoint Address : Service.Addresses) {
      if (Direct_.contains(Address))
        continue;
      auto Socket = UdpSocket::bind(Address);
      if (!Socket)
        continue;
      UdpSocket *Bound = Socket->get();
      Direct_[Address] = std::move(*Socket);
      Owner_.watch(Bound->descriptor(), [this, Address, Bound] {
        Bound->receiveBatches(
            [&](std::span<const Datagram> Batch) { onDirect(Address, Batch); });
      });
    }
  }
}

void Entry::onProxied(std::span<const Datagram> Batch) {
  Packets_.clear();
  for (const Datagram &D : Batch) {
    const auto Parsed = wire::parseProxy(D.Bytes);
    if (!Parsed) {
      ++Malformed_;
      continue;
    }
    Fabric_ = D.From;
    Packets_.push_back({Parsed->Source, Parsed->Destination, Parsed->Payload});
  }
  OnPackets_(Packets_);
}

void Entry::onDirect(Endpoint ServiceAddress, std::span<const Datagram> Batch) {
  Packets_.clear();
  for (const Datagram &D : Batch)
    Packets_.push_back({D.From, ServiceAddress, D.Bytes});
  OnPackets_(Packets_);
}

void Entry::send(const SendToCaller &Answer) {
  if (Proxy_ && Fabric_) {
    const wire::ProxyHeader Header =
        wire::encodeProxy(Answer.ServiceAddress, Answer.Caller);
    Proxy_->send(Fabric_, wire::view(Header), Answer.Payload);
    return;
  }
  auto It = Direct_.find(Answer.ServiceAddress);
  if (It != Direct_.end())
    It->second->send(Answer.Caller, Answer.Payload);
  else
    ++Unsent_;
}

void Entry::flush() {
  if (Proxy_)
    Proxy_->flush();
  for (const auto &Bound : Direct_)
    Bound.second->flush();
}

uint64_t Entry::dropped() const {
  uint64_t Sum = Unsent_ + (Proxy_ ? Proxy_->dropped() : 0);
  for (const auto &Bound : Direct_)
    Sum += Bound.second->dropped();
  return Sum;
}

} // namespace dragonflystall
