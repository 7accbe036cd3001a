// Long random runs of the balancer's core, checked against a model of the
// settings and rosters it received. Settings and rosters arrive late, twice and
// out of order; zones go out and come back; addresses and agents move between
// services; answers are forged or sent for the wrong service.
// DRAGONFLYSTALL_SEED and DRAGONFLYSTALL_RUNS select other seeds and more runs.
#include "steering/balancercore.h"
#include "steering/testdeployment.h"
#include "types/environment_test.h"

#include <gtest/gtest.h>

#include <map>

namespace dragonflystall {
namespace {

using namespace testing;

constexpr uint32_t EventsPerRun = 40'000;
constexpr uint64_t DefaultRuns = 4;
constexpr uint64_t DefaultSeed = 1;
constexpr uint32_t AgentsPerZone = 4;
constexpr uint32_t Callers = 200;
constexpr uint32_t Addresses = 4;
const std::vector<std::string> ServiceNames = {"tags", "receipts", "manuals"};

class RandomRun {
public:
  explicit RandomRun(uint64_t Seed) : Engine_(Seed) {}

  /// Performs the run; returns a hash over its actions.
  uint64_t run() {
    for (uint32_t I = 0; I < EventsPerRun; ++I) {
      step();
      if (::testing::Test::HasFatalFailure())
        break;
    }
    return Signature_;
  }

private:
  uint32_t draw(uint32_t Bound) {
    return static_cast<uint32_t>(Engine_() % Bound);
  }
  bool chance(uint32_t Percent) { return draw(100) < Percent; }
  const std::string &anyService() {
    return ServiceNames[draw(static_cast<uint32_t>(ServiceNames.size()))];
  }
  RosterEntry anyAgent() {
    RosterEntry Entry = agent(draw(ZoneCount), 10 + draw(AgentsPerZone));
    Entry.Agent.Start = Incarnation{1 + draw(3)};
    Entry.Phase = chance(80) ? AgentPhase::Serving : AgentPhase::Leaving;
    if (chance(5))
      Entry.Zone = zoneName(draw(ZoneCount));
    return Entry;
  }

  void step() {
    Clock_.advance(Duration(std::chrono::microseconds(draw(2000))));
    const uint32_t Choice = draw(1000);
    if (Choice < 500)
      deliverCallerPacket();
    else if (Choice < 800)
      deliverReply();
    else if (Choice < 850)
      deliverRoster();
    else if (Choice < 860)
      deliverSettings();
    else if (Choice < 865)
      Clock_.advance(Duration(std::chrono::milliseconds(draw(1500))));
    else
      deliver(Tick{});
  }

  void deliverCallerPacket() {
    Payload_ = std::to_string(draw(1000));
    const CallerPacket Packet{callerAddress(draw(Callers)),
                              serviceAddress(draw(Addresses + 1)), Payload_};
    deliver(Packet);
  }

  void deliverReply() {
    InternalPacket Packet =
        reply(anyAgent(), serviceId("team", anyService()),
              serviceAddress(draw(Addresses + 1)), callerAddress(draw(Callers)),
              draw(RosterVersion_ + 2));
    if (chance(5))
      Packet.From.Ip = 0x0a000001;
    if (chance(10))
      Packet.Header.Holder = AgentId::None;
    if (chance(10))
      Packet.Header.Kind = static_cast<PacketKind>(draw(4));
    if (chance(10))
      Packet.Payload = {};
    deliver(Packet);
  }

  void deliverRoster() {
    std::vector<RosterEntry> Agents;
    for (uint32_t I = draw(8); I > 0; --I)
      Agents.push_back(anyAgent());
    // A third of the rosters arrive late: with a version that is not newer than
    // an earlier one.
    const uint64_t Version =
        chance(33) ? 1 + draw(RosterVersion_) : ++RosterVersion_;
    const RosterUpdate Update{roster(anyService(), Version, Agents)};
    const ServiceId Service = Update.Value.Service;
    if (Settings_.service(Service) && Version > Rosters_[Service].Version)
      Rosters_[Service] = Update.Value;
    deliver(Update);
  }

  // Each address is assigned to a random service, or to none.
  void deliverSettings() {
    std::map<std::string, std::vector<Endpoint>> AddressesByService;
    for (uint32_t Address = 0; Address < Addresses; ++Address)
      if (chance(90))
        AddressesByService[anyService()].push_back(serviceAddress(Address));
    std::vector<ServiceSettings> Services;
    for (const std::string &Name : ServiceNames)
      if (chance(95))
        Services.push_back(service(Name, AddressesByService[Name]));
    const uint64_t Version =
        chance(33) ? 1 + draw(SettingsVersion_) : ++SettingsVersion_;
    Settings Next = settings(Version, Services);
    for (ZoneSettings &Zone : Next.Zones)
      Zone.Evacuated = chance(25);
    if (Version > Settings_.Version) {
      Settings_ = Next;
      dropRostersOfRemovedServices();
    }
    deliver(update(Next));
  }

  void dropRostersOfRemovedServices() {
    std::erase_if(Rosters_, [this](const auto &Entry) {
      return !Settings_.service(Entry.first);
    });
  }

  void deliver(const BalancerEvent &Input) {
    BalancerActions Actions;
    Core_.handle(Input, Clock_.now(), Actions);
    for (const BalancerAction &Action : Actions)
      checkAction(Action, Input);
    if (std::holds_alternative<CallerPacket>(Input))
      checkForwarded(std::get<CallerPacket>(Input), Actions);
    checkVersions();
  }

  void checkAction(const BalancerAction &Action, const BalancerEvent &Input) {
    if (const auto *Packet = std::get_if<SendPacket>(&Action))
      return checkPacket(*Packet);
    if (const auto *Answer = std::get_if<SendToCaller>(&Action))
      return checkAnswer(*Answer, Input);
    if (const auto *Want = std::get_if<FetchRoster>(&Action)) {
      ASSERT_TRUE(Settings_.service(Want->Service));
    }
  }

  /// The packet goes to an agent of its service, in a zone that is in.
  void checkPacket(const SendPacket &Packet) {
    const PacketHeader &Header = Packet.Header;
    addToSignature(Packet.To.Ip, static_cast<uint64_t>(Header.Service));
    ASSERT_LE(Header.Hops, MaxHops);
    const auto Roster = Rosters_.find(Header.Service);
    ASSERT_NE(Roster, Rosters_.end());
    const auto &Agents = Roster->second.Agents;
    ASSERT_TRUE(std::any_of(
        Agents.begin(), Agents.end(),
        [&](const RosterEntry &Entry) { return Entry.Data == Packet.To; }));
    const ZoneSettings *Zone = Settings_.zoneOf(Packet.To.Ip);
    ASSERT_TRUE(Zone && !Zone->Evacuated);
    ASSERT_EQ(Header.RosterVersion, Roster->second.Version);
    if (Header.Kind == PacketKind::Probe)
      return;
    ASSERT_EQ(Header.Kind, PacketKind::Request);
    const ServiceSettings *AddressService =
        Settings_.serviceAt(Header.ServiceAddress);
    ASSERT_TRUE(AddressService && AddressService->Id == Header.Service);
  }

  void checkAnswer(const SendToCaller &Answer, const BalancerEvent &Input) {
    addToSignature(Answer.Caller.Ip, Answer.Caller.Port);
    const auto *Packet = std::get_if<InternalPacket>(&Input);
    ASSERT_TRUE(Packet);
    ASSERT_EQ(Packet->Header.Kind, PacketKind::Reply);
    ASSERT_EQ(Answer.Caller, Packet->Header.Caller);
    ASSERT_EQ(Answer.ServiceAddress, Packet->Header.ServiceAddress);
    const ServiceSettings *AddressService =
        Settings_.serviceAt(Answer.ServiceAddress);
    ASSERT_TRUE(AddressService && AddressService->Id == Packet->Header.Service);
    const ZoneSettings *Zone = Settings_.zoneOf(Packet->From.Ip);
    ASSERT_TRUE(Zone && !Zone->Evacuated);
  }

  /// The packet is forwarded if an agent is eligible for it, and never if no
  /// service has its address or the balancer's zone is out.
  void checkForwarded(const CallerPacket &Packet,
                      const BalancerActions &Actions) {
    const ServiceSettings *AddressService =
        Settings_.serviceAt(Packet.ServiceAddress);
    const bool Forwarded = std::any_of(
        Actions.begin(), Actions.end(), [&](const BalancerAction &Action) {
          const auto *Sent = std::get_if<SendPacket>(&Action);
          return Sent && Sent->Header.Caller == Packet.Caller &&
                 Sent->Payload == Packet.Payload;
        });
    if (!AddressService || Settings_.isZoneEvacuated(zoneName(0))) {
      ASSERT_FALSE(Forwarded);
      return;
    }
    const auto Roster = Rosters_.find(AddressService->Id);
    const bool HasEligibleAgent =
        Roster != Rosters_.end() &&
        std::any_of(Roster->second.Agents.begin(), Roster->second.Agents.end(),
                    [this](const RosterEntry &Entry) { return serves(Entry); });
    ASSERT_TRUE(Forwarded || !HasEligibleAgent);
  }

  bool serves(const RosterEntry &Entry) const {
    const ZoneSettings *Zone = Settings_.zoneOf(Entry.Data.Ip);
    return Entry.Phase == AgentPhase::Serving && Zone && !Zone->Evacuated &&
           Zone->Name == Entry.Zone;
  }

  void checkVersions() {
    ASSERT_EQ(Core_.settingsVersion(), Settings_.Version);
    for (const auto &[Service, Expected] : Rosters_) {
      if (Expected.Version == 0)
        continue;
      ASSERT_TRUE(Core_.roster(Service));
      ASSERT_EQ(Core_.roster(Service)->Version, Expected.Version);
    }
  }

  void addToSignature(uint64_t First, uint64_t Second) {
    Signature_ = (Signature_ ^ First) * 0x9e3779b97f4a7c15ULL + Second;
  }

  Random Engine_;
  VirtualClock Clock_;
  BalancerCore Core_{{zoneName(0), address(0, 1), /*FlowCapacity=*/150}};
  std::string Payload_;
  // The model: the settings and rosters that the core must apply.
  uint64_t SettingsVersion_ = 1;
  uint32_t RosterVersion_ = 1;
  Settings Settings_;
  std::map<ServiceId, Roster> Rosters_;
  uint64_t Signature_ = 0;
};

TEST(BalancerRun, KeepsItsInvariantsUnderRandomEvents) {
  const uint64_t First = fromEnvironment("DRAGONFLYSTALL_SEED", DefaultSeed);
  const uint64_t Runs = fromEnvironment("DRAGONFLYSTALL_RUNS", DefaultRuns);
  for (uint64_t Seed = First; Seed < First + Runs; ++Seed) {
    SCOPED_TRACE("DRAGONFLYSTALL_SEED=" + std::to_string(Seed));
    RandomRun(Seed).run();
    if (HasFatalFailure())
      return;
  }
}

TEST(BalancerRun, TheSameEventsGiveTheSameActions) {
  EXPECT_EQ(RandomRun(DefaultSeed).run(), RandomRun(DefaultSeed).run());
  EXPECT_NE(RandomRun(DefaultSeed).run(), RandomRun(DefaultSeed + 1).run());
}

} // namespace
} // namespace dragonflystall
