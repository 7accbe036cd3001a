// Feeds packets into the balancer's core and carries its actions out.
#include "forwarder.h"

#include "wire/framing.h"

namespace dragonflystall {

Forwarder::Forwarder(Loop &Owner, BalancerIdentity Self, Listener Control)
    : Owner_(Owner), Control_(std::move(Control)), Local_(Self.Data),
      Core_(std::move(Self)),
      Entry_(Owner, [this](std::span<const CallerPacket> Packets) {
        onCallers(Packets);
      }) {}

tl::expected<void, std::string> Forwarder::openData() {
  auto Data = UdpSocket::bind(Local_);
  if (!Data)
    return tl::unexpected(Data.error());
  Data_ = std::move(*Data);
  Owner_.watch(Data_->descriptor(), [this] {
    Data_->receive([this](Endpoint From, std::string_view Bytes) {
      onInternal(From, Bytes);
    });
  });
  Owner_.afterRound([this] {
    Data_->flush();
    Entry_.flush();
  });
  return {};
}

void Forwarder::handle(const BalancerEvent &What) {
  Actions_.clear();
  Core_.handle(What, Clock_.now(), Actions_);
  for (const BalancerAction &Action : Actions_)
    std::visit([this](const auto &Value) { carryOut(Value); }, Action);
}

void Forwarder::carryOut(const SendPacket &Action) {
  wire::encodeHeader(Action.Header, Header_);
  Data_->send(Action.To, Header_, Action.Payload);
}

void Forwarder::onCallers(std::span<const CallerPacket> Packets) {
  LastPacket_ = Clock_.now();
  for (const CallerPacket &Packet : Packets)
    Core_.prefetch(Packet);
  for (const CallerPacket &Packet : Packets)
    handle(Packet);
}

void Forwarder::onInternal(Endpoint From, std::string_view Bytes) {
  LastPacket_ = Clock_.now();
  const auto Frame = wire::parseFrame(Bytes);
  if (!Frame) {
    ++Malformed_;
    return;
  }
  handle(InternalPacket{From, Frame->Header, Frame->Payload});
}

} // namespace dragonflystall
