// Stand-in for the platform's fabric: takes callers' datagrams on the service
// addresses and hands each one to a balancer drawn at random, with the caller's
// address in a PROXY header; answers go back to their callers. It can drop,
// duplicate and delay datagrams in both directions, and leave out balancers
// whose readiness check fails.
#include "shell/loop.h"
#include "shell/udpsocket.h"
#include "wire/proxy.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <httplib.h>
#include <map>
#include <random>
#include <thread>

using namespace dragonflystall;

namespace {

struct Faults {
  double Drop = 0;      ///< Share of datagrams, 0 to 1.
  double Duplicate = 0; ///< Share of datagrams, 0 to 1.
  Duration Delay{};     ///< Upper bound of a uniform delay.
};

struct Options {
  std::vector<Endpoint> Services;
  std::vector<Endpoint> Entries;
  /// Balancers' admin addresses in the order of Entries; empty: no checks.
  std::vector<Endpoint> Checks;
  Endpoint Local; ///< Where datagrams to balancers come from.
  uint64_t Seed = 1;
  Faults Switches;
};

/// A datagram on its way: from one of the fabric's sockets to an address.
struct Transit {
  UdpSocket *Through = nullptr;
  Endpoint To;
  std::string Bytes;
};

class Fabric {
public:
  explicit Fabric(Options Given) : Given_(std::move(Given)) {}

  bool open();
  void run();

private:
  UdpSocket *bind(Endpoint Local);
  void onCaller(Endpoint Service, Endpoint Caller, std::string_view Bytes);
  void onBalancer(std::string_view Bytes);
  void pass(Transit Datagram);
  void sendDue();
  void startChecks();
  size_t anyEntry();
  bool chance(double Share) { return Share > 0 && Unit_(Engine_) < Share; }

  Options Given_;
  Loop Loop_;
  std::vector<std::unique_ptr<UdpSocket>> Sockets_;
  std::map<Endpoint, UdpSocket *> ByService_;
  UdpSocket *Inner_ = nullptr;
  std::mt19937_64 Engine_{Given_.Seed};
  std::uniform_real_distribution<> Unit_{0.0, 1.0};
  std::multimap<TimePoint, Transit> Delayed_;
  /// Parallel to the entries. All are sprayed to when none is ready.
  std::vector<bool> Ready_ = std::vector<bool>(Given_.Entries.size(), true);
  std::vector<std::jthread> Checkers_;
};

constexpr Duration CheckPeriod = 200ms;

bool isReady(Endpoint Admin) {
  const std::string Text = toString(Admin);
  httplib::Client Client("http://" + Text);
  Client.set_connection_timeout(1);
  Client.set_read_timeout(1);
  const auto Answer = Client.Get("/readyz");
  return Answer && Answer->status == 200;
}

UdpSocket *Fabric::bind(Endpoint Local) {
  auto Socket = UdpSocket::bind(Local);
  if (!Socket) {
    fmt::print(stderr, "{{\"error\":\"{}: {}\"}}\n", toString(Local),
               Socket.error());
    return nullptr;
  }
  Sockets_.push_back(std::move(*Socket));
  return Sockets_.back().get();
}

bool Fabric::open() {
  Inner_ = bind(Given_.Local);
  if (!Inner_)
    return false;
  Loop_.watch(Inner_->descriptor(), [this] {
    Inner_->receive(
        [this](Endpoint, std::string_view Bytes) { onBalancer(Bytes); });
  });
  for (Endpoint Service : Given_.Services) {
    UdpSocket *Outer = bind(Service);
    if (!Outer)
      return false;
    ByService_[Service] = Outer;
    Loop_.watch(Outer->descriptor(), [this, Service, Outer] {
      Outer->receive([&](Endpoint Caller, std::string_view Bytes) {
        onCaller(Service, Caller, Bytes);
      });
    });
  }
  return true;
}

void Fabric::run() {
  Loop_.onStopSignal([this] { Loop_.stop(); });
  startChecks();
  Loop_.every(1ms, [this] { sendDue(); });
  Loop_.afterRound([this] {
    for (const auto &Socket : Sockets_)
      Socket->flush();
  });
  Loop_.run();
}

// One thread for each balancer, so that one that hangs delays no other check.
void Fabric::startChecks() {
  for (size_t I = 0; I < Given_.Checks.size(); ++I)
    Checkers_.emplace_back([this, I](const std::stop_token &Stop) {
      while (!Stop.stop_requested()) {
        const bool Ready = isReady(Given_.Checks[I]);
        Loop_.post([this, I, Ready] { Ready_[I] = Ready; });
        std::this_thread::sleep_for(CheckPeriod);
      }
    });
}

size_t Fabric::anyEntry() {
  const size_t Count = Given_.Entries.size();
  const auto ReadyCount =
      static_cast<size_t>(std::count(Ready_.begin(), Ready_.end(), true));
  const size_t Among = ReadyCount > 0 ? ReadyCount : Count;
  std::uniform_int_distribution<size_t> Any(0, Among - 1);
  size_t Skip = Any(Engine_);
  for (size_t I = 0; I < Count; ++I)
    if ((Ready_[I] || ReadyCount == 0) && Skip-- == 0)
      return I;
  return 0;
}

void Fabric::onCaller(Endpoint Service, Endpoint Caller,
                      std::string_view Bytes) {
  const wire::ProxyHeader Header = wire::encodeProxy(Caller, Service);
  std::string Datagram(wire::view(Header));
  Datagram.append(Bytes);
  pass({Inner_, Given_.Entries[anyEntry()], std::move(Datagram)});
}

void Fabric::onBalancer(std::string_view Bytes) {
  const auto Parsed = wire::parseProxy(Bytes);
  if (!Parsed)
    return;
  auto It = ByService_.find(Parsed->Source);
  if (It != ByService_.end())
    pass({It->second, Parsed->Destination, std::string(Parsed->Payload)});
}

void Fabric::pass(Transit Datagram) {
  if (chance(Given_.Switches.Drop))
    return;
  const int Copies = chance(Given_.Switches.Duplicate) ? 2 : 1;
  for (int I = 0; I < Copies; ++I) {
    if (Given_.Switches.Delay == 0ms) {
      Datagram.Through->send(Datagram.To, Datagram.Bytes);
      continue;
    }
    std::uniform_int_distribution<int64_t> Upto(0,
                                                Given_.Switches.Delay.count());
    const TimePoint Due =
        std::chrono::steady_clock::now() + Duration(Upto(Engine_));
    Delayed_.emplace(Due, Datagram);
  }
}

void Fabric::sendDue() {
  const TimePoint Now = std::chrono::steady_clock::now();
  while (!Delayed_.empty() && Delayed_.begin()->first <= Now) {
    const Transit &Datagram = Delayed_.begin()->second;
    Datagram.Through->send(Datagram.To, Datagram.Bytes);
    Delayed_.erase(Delayed_.begin());
  }
}

std::vector<Endpoint> endpoints(const std::vector<std::string> &Texts) {
  std::vector<Endpoint> Result;
  for (const std::string &Text : Texts) {
    const auto Address = parseEndpoint(Text);
    if (!Address)
      throw std::invalid_argument("not an address and port: " + Text);
    Result.push_back(*Address);
  }
  return Result;
}

Options parse(int Count, char **Values) {
  namespace po = boost::program_options;
  std::vector<std::string> Services;
  std::vector<std::string> Entries;
  std::vector<std::string> Checks;
  std::string Local;
  int64_t DelayMs = 0;
  Options Result;
  po::options_description Known("standin-fabric");
  Known.add_options()("help", "show this text")(
      "service", po::value(&Services)->multitoken()->required(),
      "service addresses, IP:PORT")(
      "entry", po::value(&Entries)->multitoken()->required(),
      "balancers' entry addresses, IP:PORT")(
      "check", po::value(&Checks)->multitoken(),
      "admin addresses, one for each entry: spray to ready balancers only")(
      "local", po::value(&Local)->default_value("127.1.0.2:7000"),
      "address towards the balancers")(
      "seed", po::value(&Result.Seed)->default_value(1), "random seed")(
      "drop", po::value(&Result.Switches.Drop), "share of datagrams lost")(
      "duplicate", po::value(&Result.Switches.Duplicate),
      "share of datagrams sent twice")("delay-ms", po::value(&DelayMs),
                                       "longest delay of a datagram");
  po::variables_map Given;
  po::store(po::parse_command_line(Count, Values, Known), Given);
  if (Given.count("help")) {
    fmt::print("{}", (std::ostringstream() << Known).str());
    std::exit(0);
  }
  po::notify(Given);
  Result.Services = endpoints(Services);
  Result.Entries = endpoints(Entries);
  Result.Checks = endpoints(Checks);
  if (!Checks.empty() && Checks.size() != Entries.size())
    throw std::invalid_argument("--check: one for each entry");
  Result.Local = endpoints({Local}).front();
  Result.Switches.Delay = std::chrono::milliseconds(DelayMs);
  return Result;
}

} // namespace

int main(int Count, char **Values) {
  try {
    Fabric Standin(parse(Count, Values));
    if (!Standin.open())
      return 1;
    Standin.run();
    return 0;
  } catch (const std::exception &Error) {
    fmt::print(stderr, "{{\"error\":\"{}\"}}\n", Error.what());
    return 2;
  }
}
