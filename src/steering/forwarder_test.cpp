// The forwarding path over loopback sockets: through the fabric to an agent and
// back, and with directly bound service addresses.
#include "steering/forwarder.h"
#include "steering/testdeployment.h"
#include "wire/framing.h"
#include "wire/proxy.h"

#include <gtest/gtest.h>

#include <unistd.h>

namespace dragonflystall {
namespace {

using namespace testing;

/// A /28 network of loopback addresses, different for each process.
const uint32_t Base =
    0x7f800000 + 16 * (static_cast<uint32_t>(getpid()) % 0x40000);
const Endpoint BalancerData{Base + 1, 17000};
const Endpoint BalancerEntry{Base + 1, 17003};
const Endpoint Agent{Base + 2, 17000};
const Endpoint Caller{Base + 3, 17000};
const Endpoint Fabric{Base + 4, 17000};
const Endpoint Service{Base + 5, 15683};
/// Ends a test that would otherwise wait forever; no result depends on it in
/// any other way.
constexpr Duration TestTimeout = 20s;

struct ForwarderTest : ::testing::Test {
  ForwarderTest() {
    CurrentSettings = settings(1, {service("tags", {Service})});
    CurrentSettings.Zones = {{zoneName(0), false, {Network{Base, 28}}}};
    RosterEntry Entry = agent(0, 1);
    Entry.Data = Agent;
    EXPECT_TRUE(TestedForwarder.bindDataAddress());
    TestedForwarder.handle(update(CurrentSettings));
    TestedForwarder.handle(RosterUpdate{roster("tags", 1, {Entry})});
    AgentSocket = std::move(*UdpSocket::bind(Agent));
    EventLoop.watch(AgentSocket->descriptor(), [this] { answerAsAgent(); });
    EventLoop.every(TestTimeout, [this] { EventLoop.stop(); });
  }

  /// Answers each request with its payload followed by " too".
  void answerAsAgent() {
    AgentSocket->receive([this](Endpoint From, std::string_view Bytes) {
      const auto Frame = wire::parseFrame(Bytes);
      ASSERT_TRUE(Frame);
      PacketHeader Header = Frame->Header;
      EXPECT_EQ(From, BalancerData);
      EXPECT_EQ(Header.Balancer, BalancerData);
      EXPECT_EQ(Header.Caller, Caller);
      Header.Kind = PacketKind::Reply;
      Header.Holder = agent(0, 1).Agent.Id;
      std::string HeaderBytes;
      wire::encodeHeader(Header, HeaderBytes);
      AgentSocket->send(From, HeaderBytes,
                        std::string(Frame->Payload) + " too");
    });
    AgentSocket->flush();
  }

  /// Sends a datagram and returns the first one received in response.
  std::string exchange(Endpoint From, Endpoint To, const std::string &Bytes) {
    auto Socket = UdpSocket::bind(From);
    if (!Socket)
      return Socket.error();
    std::string Answer;
    EventLoop.watch((*Socket)->descriptor(), [&] {
      (*Socket)->receive([&](Endpoint, std::string_view Received) {
        Answer = Received;
        EventLoop.stop();
      });
    });
    (*Socket)->send(To, Bytes);
    (*Socket)->flush();
    EventLoop.run();
    EventLoop.unwatch((*Socket)->descriptor());
    return Answer;
  }

  Loop EventLoop;
  Forwarder TestedForwarder{EventLoop,
                            {zoneName(0), BalancerData, /*FlowCapacity=*/100},
                            {[](const FetchRoster &) {}, [](const Event &) {}}};
  Settings CurrentSettings;
  std::unique_ptr<UdpSocket> AgentSocket;
};

TEST_F(ForwarderTest, ForwardsRequestsAndAnswersThroughTheFabric) {
  ASSERT_TRUE(TestedForwarder.callerSockets().bindProxyAddress(BalancerEntry));
  const wire::ProxyHeader Header = wire::encodeProxy(Caller, Service);
  const std::string Answer = exchange(
      Fabric, BalancerEntry, std::string(wire::view(Header)) + "hello");
  const auto Parsed = wire::parseProxy(Answer);
  ASSERT_TRUE(Parsed);
  EXPECT_EQ(Parsed->Source, Service);
  EXPECT_EQ(Parsed->Destination, Caller);
  EXPECT_EQ(Parsed->Payload, "hello too");
  EXPECT_EQ(TestedForwarder.core().cachedFlows(), 1U);
}

TEST_F(ForwarderTest, AnswersFromTheBoundServiceAddress) {
  TestedForwarder.callerSockets().bindServiceAddresses(CurrentSettings);
  EXPECT_EQ(exchange(Caller, Service, "hello"), "hello too");
}

TEST_F(ForwarderTest, ClosesAServiceAddressThatIsRemovedFromTheSettings) {
  TestedForwarder.callerSockets().bindServiceAddresses(CurrentSettings);
  ASSERT_FALSE(UdpSocket::bind(Service));
  TestedForwarder.callerSockets().bindServiceAddresses(settings(2, {}));
  EXPECT_TRUE(UdpSocket::bind(Service));
}

TEST_F(ForwarderTest, CountsDatagramsWithoutValidHeader) {
  ASSERT_TRUE(TestedForwarder.callerSockets().bindProxyAddress(BalancerEntry));
  auto Socket = UdpSocket::bind(Fabric);
  ASSERT_TRUE(Socket);
  (*Socket)->send(BalancerEntry, "no header");
  (*Socket)->send(BalancerData, "no frame");
  (*Socket)->flush();
  EventLoop.afterRound([this] {
    if (TestedForwarder.malformed() == 2)
      EventLoop.stop();
  });
  EventLoop.run();
  EXPECT_EQ(TestedForwarder.malformed(), 2U);
}

} // namespace
} // namespace dragonflystall
