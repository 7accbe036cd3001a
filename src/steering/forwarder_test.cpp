// The forwarding path over loopback sockets: from the fabric to an agent and
// back, and with the service address bound directly.
#include "steering/forwarder.h"
#include "steering/steeringworld.h"
#include "wire/framing.h"
#include "wire/proxy.h"

#include <gtest/gtest.h>

#include <unistd.h>

namespace dragonflystall {
namespace {

using namespace testing;

/// A /28 of loopback addresses for this process alone.
const uint32_t Base =
    0x7f800000 + 16 * (static_cast<uint32_t>(getpid()) % 0x40000);
const Endpoint Balancer{Base + 1, 17000};
const Endpoint BalancerEntry{Base + 1, 17003};
const Endpoint Agent{Base + 2, 17000};
const Endpoint Caller{Base + 3, 17000};
const Endpoint Fabric{Base + 4, 17000};
const Endpoint Service{Base + 5, 15683};
/// Ends a test that would wait for ever; no verdict depends on it otherwise.
constexpr Duration Guard = 20s;

struct ForwarderTest : ::testing::Test {
  ForwarderTest() {
    InForce = settings(1, {service("tags", {Service})});
    InForce.Zones = {{zoneName(0), false, {Network{Base, 28}}}};
    RosterEntry Entry = agent(0, 1);
    Entry.Data = Agent;
    EXPECT_TRUE(Path.openData());
    Path.handle(update(InForce));
    Path.handle(RosterUpdate{roster("tags", 1, {Entry})});
    AgentSocket = std::move(*UdpSocket::bind(Agent));
    Owner.watch(AgentSocket->descriptor(), [this] { answerAsAgent(); });
    Owner.every(Guard, [this] { Owner.stop(); });
  }

  /// Answers each request with its payload and " too".
  void answerAsAgent() {
    AgentSocket->receive([this](Endpoint From, std::string_view Bytes) {
      const auto Frame = wire::parseFrame(Bytes);
      ASSERT_TRUE(Frame);
      PacketHeader Header = Frame->Header;
      EXPECT_EQ(From, Balancer);
      EXPECT_EQ(Header.Balancer, Balancer);
      EXPECT_EQ(Header.Caller, Caller);
      Header.Kind = PacketKind::Reply;
      Header.Holder = agent(0, 1).Agent.Id;
      std::string Head;
      wire::encodeHeader(Header, Head);
      AgentSocket->send(From, Head, std::string(Frame->Payload) + " too");
    });
    AgentSocket->flush();
  }

  /// Sends the datagram and returns the first one that comes back.
  std::string exchange(Endpoint From, Endpoint To, const std::string &Bytes) {
    auto Socket = UdpSocket::bind(From);
    if (!Socket)
      return Socket.error();
    std::string Answer;
    Owner.watch((*Socket)->descriptor(), [&] {
      (*Socket)->receive([&](Endpoint, std::string_view Received) {
        Answer = Received;
        Owner.stop();
      });
    });
    (*Socket)->send(To, Bytes);
    (*Socket)->flush();
    Owner.run();
    Owner.unwatch((*Socket)->descriptor());
    return Answer;
  }

  Loop Owner;
  Forwarder Path{Owner,
                 {zoneName(0), Balancer, /*FlowCapacity=*/100},
                 {[](const WantRoster &) {}, [](const Event &) {}}};
  Settings InForce;
  std::unique_ptr<UdpSocket> AgentSocket;
};

TEST_F(ForwarderTest, CarriesAFlowThroughTheFabricAndBack) {
  ASSERT_TRUE(Path.entry().openProxy(BalancerEntry));
  const wire::ProxyHeader Header = wire::encodeProxy(Caller, Service);
  const std::string Answer = exchange(
      Fabric, BalancerEntry, std::string(wire::view(Header)) + "hello");
  const auto Parsed = wire::parseProxy(Answer);
  ASSERT_TRUE(Parsed);
  EXPECT_EQ(Parsed->Source, Service);
  EXPECT_EQ(Parsed->Destination, Caller);
  EXPECT_EQ(Parsed->Payload, "hello too");
  EXPECT_EQ(Path.core().cachedFlows(), 1U);
}

TEST_F(ForwarderTest, AnswersFromTheServiceAddressItBound) {
  Path.entry().bindServices(InForce);
  EXPECT_EQ(exchange(Caller, Service, "hello"), "hello too");
}

TEST_F(ForwarderTest, GivesUpAServiceAddressThatLeftTheSettings) {
  Path.entry().bindServices(InForce);
  ASSERT_FALSE(UdpSocket::bind(Service));
  Path.entry().bindServices(settings(2, {}));
  EXPECT_TRUE(UdpSocket::bind(Service));
}

TEST_F(ForwarderTest, CountsWhatHasNoValidHeader) {
  ASSERT_TRUE(Path.entry().openProxy(BalancerEntry));
  auto Noise = UdpSocket::bind(Fabric);
  ASSERT_TRUE(Noise);
  (*Noise)->send(BalancerEntry, "no header");
  (*Noise)->send(Balancer, "no frame");
  (*Noise)->flush();
  Owner.afterRound([this] {
    if (Path.malformed() == 2)
      Owner.stop();
  });
  Owner.run();
  EXPECT_EQ(Path.malformed(), 2U);
}

} // namespace
} // namespace dragonflystall
