// The balancer's forwarding rate compared with a plain relay: both receive
// datagrams on one UDP socket and send them on another. They run alternately
// under the same load.
// The rate is per second of the forwarding thread's processor time, so that
// other load on the machine has little effect.
#include "bench.h"
#include "oneservice.h"

#include "steering/forwarder.h"
#include "wire/proxy.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <functional>
#include <thread>
#include <vector>

namespace dragonflystall::bench {

namespace {

constexpr int Rounds = 5;
constexpr uint64_t DatagramsPerRound = 200'000;
/// Limits the datagrams lost when the sender is faster than the forwarding.
constexpr uint64_t MaxSentPerRound = 20 * DatagramsPerRound;
constexpr uint32_t Flows = 5'000;
constexpr size_t PayloadBytes = 64;
constexpr double TargetRatio = 0.7;

const Endpoint SenderAddress{0x7f020001, 0};
const Endpoint EntryAddress{0x7f020002, 17003};
const Endpoint DataAddress{0x7f020002, 17000};
const Endpoint SinkAddress{0x7f020003, 17000};
const Endpoint ServiceAddress{0x7f020064, 5683};

struct Rate {
  uint64_t Datagrams = 0;
  double Seconds = 0; ///< Processor time of the forwarding thread.
  double perSecond() const { return static_cast<double>(Datagrams) / Seconds; }
};

Endpoint callerNumber(uint32_t Number) {
  return {0x0a000000 + (Number >> 12),
          static_cast<uint16_t>(1024 + (Number & 0xfff))};
}

std::unique_ptr<UdpSocket> bindOrThrow(Endpoint Local) {
  auto Socket = UdpSocket::bind(Local);
  if (!Socket)
    throw std::runtime_error(toString(Local) + ": " + Socket.error());
  return std::move(*Socket);
}

/// Sends the fabric's datagrams at the highest possible rate until stopped.
void sendLoad(const std::atomic<bool> &Done) {
  const auto Socket = bindOrThrow(SenderAddress);
  const std::string Payload(PayloadBytes, 'x');
  for (uint64_t I = 0; I < MaxSentPerRound && !Done; ++I) {
    const auto Header = wire::encodeProxy(
        callerNumber(static_cast<uint32_t>(I % Flows)), ServiceAddress);
    Socket->send(EntryAddress, wire::view(Header), Payload);
  }
}

void drainSink(const std::atomic<bool> &Done) {
  const auto Socket = bindOrThrow(SinkAddress);
  while (!Done)
    Socket->receive([](Endpoint, std::string_view) {});
}

/// Runs the loop under load until Forwarded reports enough datagrams.
Rate underLoad(Loop &Forwarding, const std::function<uint64_t()> &Forwarded) {
  std::atomic<bool> Done = false;
  std::thread Sink([&Done] { drainSink(Done); });
  std::thread Sender([&Done] { sendLoad(Done); });
  Forwarding.afterRound([&] {
    if (Forwarded() >= DatagramsPerRound)
      Forwarding.stop();
  });
  Forwarding.every(5s, [&Forwarding] { Forwarding.stop(); });
  const double Start = threadSeconds();
  Forwarding.run();
  const Rate Result{Forwarded(), threadSeconds() - Start};
  Done = true;
  Sender.join();
  Sink.join();
  return Result;
}

Rate relayRound() {
  Loop Relay;
  const auto In = bindOrThrow(EntryAddress);
  const auto Out = bindOrThrow(DataAddress);
  uint64_t Count = 0;
  Relay.watch(In->descriptor(), [&] {
    In->receive([&](Endpoint, std::string_view Bytes) {
      Out->send(SinkAddress, Bytes);
      ++Count;
    });
  });
  Relay.afterRound([&] { Out->flush(); });
  return underLoad(Relay, [&Count] { return Count; });
}

Roster oneAgent() {
  RosterEntry Entry;
  Entry.Name = "agent";
  Entry.Agent = {agentId(Entry.Name), Incarnation{1}};
  Entry.Zone = "zone";
  Entry.Data = SinkAddress;
  Roster Result;
  Result.Service = serviceId("team", "service");
  Result.Version = 1;
  upsert(Result, Entry);
  return Result;
}

/// Makes the sink the holder of every flow.
void learnFlows(Forwarder &Balancer) {
  PacketHeader Header;
  Header.Kind = PacketKind::Reply;
  Header.Service = serviceId("team", "service");
  Header.ServiceAddress = ServiceAddress;
  Header.RosterVersion = 1;
  Header.Holder = agentId("agent");
  for (uint32_t I = 0; I < Flows; ++I) {
    Header.Caller = callerNumber(I);
    Balancer.handle(InternalPacket{SinkAddress, Header, {}});
  }
}

Rate balancerRound() {
  Loop Owner;
  Forwarder Balancer(Owner, {"zone", DataAddress},
                     {[](const FetchRoster &) {}, [](const Event &) {}});
  if (!Balancer.bindDataAddress() ||
      !Balancer.callerSockets().bindProxyAddress(EntryAddress))
    throw std::runtime_error("cannot bind the balancer's addresses");
  Balancer.handle(SettingsUpdate{oneService({0x7f020000, 24}, ServiceAddress)});
  Balancer.handle(RosterUpdate{oneAgent()});
  learnFlows(Balancer);
  const SteerCounters &Counters = Balancer.core().counters();
  return underLoad(Owner, [&] { return Counters[SteerCounter::Hit]; });
}

double median(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() / 2];
}

} // namespace

bool measureForwarding() {
  std::vector<double> Relay;
  std::vector<double> Balancer;
  std::vector<double> Ratio;
  for (int I = 0; I < Rounds; ++I) {
    Relay.push_back(relayRound().perSecond());
    Balancer.push_back(balancerRound().perSecond());
    Ratio.push_back(Balancer.back() / Relay.back());
    fmt::print("round {}: relay {:.0f}, balancer {:.0f} datagrams/s of a core, "
               "ratio {:.2f}\n",
               I + 1, Relay.back(), Balancer.back(), Ratio.back());
  }
  const double Result = median(Ratio);
  fmt::print(
      "relay {:.0f}, balancer {:.0f} datagrams/s of a core, ratio {:.2f} "
      "(target {})\n",
      median(Relay), median(Balancer), Result, TargetRatio);
  return Result >= TargetRatio;
}

} // namespace dragonflystall::bench
