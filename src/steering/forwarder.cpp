// Passes received packets to the balancer's core and performs its actions.
#include "forwarder.h"

#include "wire/framing.h"

namespace dragonflystall {

Forwarder::Forwarder(Loop &EventLoop, BalancerIdentity Self,
                     Listener EventListener)
    : EventLoop_(EventLoop), Listener_(std::move(EventListener)),
      DataAddress_(Self.Data), Core_(std::move(Self)),
      CallerSockets_(EventLoop, [this](std::span<const CallerPacket> Packets) {
        onCallers(Packets);
      }) {}

tl::expected<void, std::string> Forwarder::bindDataAddress() {
  auto Socket = UdpSocket::bind(DataAddress_);
  if (!Socket)
    return tl::unexpected(Socket.error());
  DataSocket_ = std::move(*Socket);
  EventLoop_.watch(DataSocket_->descriptor(), [this] {
    DataSocket_->receive([this](Endpoint From, std::string_view Bytes) {
      onInternal(From, Bytes);
    });
  });
  EventLoop_.afterRound([this] {
    DataSocket_->flush();
    CallerSockets_.flush();
  });
  return {};
}

void Forwarder::handle(const BalancerEvent &Input) {
  Actions_.clear();
  Core_.handle(Input, Clock_.now(), Actions_);
  for (const BalancerAction &Action : Actions_)
    std::visit([this](const auto &Value) { perform(Value); }, Action);
}

void Forwarder::perform(const SendPacket &Action) {
  wire::encodeHeader(Action.Header, HeaderBuffer_);
  DataSocket_->send(Action.To, HeaderBuffer_, Action.Payload);
}

void Forwarder::onCallers(std::span<const CallerPacket> Packets) {
  LastPacketTime_ = Clock_.now();
  for (const CallerPacket &Packet : Packets)
    Core_.prefetch(Packet);
  for (const CallerPacket &Packet : Packets)
    handle(Packet);
}

void Forwarder::onInternal(Endpoint From, std::string_view Bytes) {
  LastPacketTime_ = Clock_.now();
  const auto Frame = wire::parseFrame(Bytes);
  if (!Frame) {
    ++Malformed_;
    return;
  }
  handle(InternalPacket{From, Frame->Header, Frame->Payload});
}

} // namespace dragonflystall
