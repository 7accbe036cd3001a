// Runs real balancers and agents under random faults and checks what callers
// and upstreams see.
//
//   soak --program dragonflystall-node --folder DIR [--seed N] [--seconds N]
#include "soak/faults.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

using namespace dragonflystall;

namespace {

constexpr Duration WarmUp = 4s;
/// What the deployment needs after the last fault at most.
constexpr Duration Recovery = 12s;
constexpr Duration Calm = 6s;
constexpr Duration TickInterval = 5ms;
/// Share of the requests that are answered when all is isStable.
constexpr double LeastServed = 0.99;

struct Options {
  soak::FleetOptions Fleet;
  uint64_t Seed = 1;
  int Seconds = 60;
  int MeanApartMs = 700;
};

class Run {
public:
  explicit Run(const Options &Given)
      : Shared_("soak"), All_(Shared_, Given.Fleet),
        Faults_(Shared_, All_, Given.Seed),
        Ticker_(Shared_.Base.get(), TickInterval, [this] { tick(); }) {
    Shared_.Rng.seed(Given.Seed);
    const TimePoint Begin = Shared_.now() + WarmUp;
    Faults_.plan(Begin, Begin + std::chrono::seconds(Given.Seconds),
                 std::chrono::milliseconds(Given.MeanApartMs));
  }

  /// Returns whether all promises were kept.
  bool run() {
    event_base_dispatch(Shared_.Base.get());
    for (const auto &[Name, Count] : Faults_.counts())
      fmt::print("fault {} {}\n", Name, Count);
    print("under faults", Troubled_);
    print("afterwards", Calmed_);
    for (const std::string &Text : All_.Checker.violations())
      fmt::print("BROKEN {}\n", Text);
    return All_.Checker.violations().empty();
  }

private:
  static void print(std::string_view When, const soak::Outcome &O) {
    fmt::print("{}: answered {}, refused {}, not opened {}, broken off {}, not "
               "answered {}\n",
               When, O.Answered, O.Refused, O.Unopened, O.BrokenOff,
               O.Unanswered);
  }

  void tick() {
    const TimePoint Now = Shared_.now();
    Shared_.Log.tick(Now);
    All_.tick(Now);
    Faults_.tick(Now);
    if (!Faults_.isFinished())
      CalmFrom_ = Now + Recovery;
    if (!IsCalm_ && Now >= CalmFrom_) {
      IsCalm_ = true;
      Troubled_ = All_.Callers->takeOutcome();
    }
    if (Now < CalmFrom_ + Calm && All_.Checker.violations().size() < MostBroken)
      return;
    (IsCalm_ ? Calmed_ : Troubled_) = All_.Callers->takeOutcome();
    const auto Answered = static_cast<double>(Calmed_.Answered);
    if (IsCalm_ && Answered < LeastServed * (Answered + Calmed_.failed()) + 1)
      All_.Checker.fail(Now, "requests fail though all is calm");
    event_base_loopbreak(Shared_.Base.get());
  }

  static constexpr size_t MostBroken = 5;

  node::Services Shared_;
  soak::Fleet All_;
  soak::Faults Faults_;
  node::Ticker Ticker_;
  TimePoint CalmFrom_{};
  bool IsCalm_ = false;
  soak::Outcome Troubled_;
  soak::Outcome Calmed_;
};

std::optional<Options> parse(int Count, char **Values) {
  namespace po = boost::program_options;
  Options Result;
  unsigned Net = Result.Fleet.Net;
  po::options_description Text("soak");
  Text.add_options()("help", "print this text")(
      "program", po::value(&Result.Fleet.Program)->required(),
      "dragonflystall-node")("folder",
                             po::value(&Result.Fleet.Folder)->required(),
                             "existing folder for settings and logs")(
      "seed", po::value(&Result.Seed), "of faults, callers and upstreams")(
      "seconds", po::value(&Result.Seconds), "in which faults begin")(
      "apart-ms", po::value(&Result.MeanApartMs), "mean time between faults")(
      "agents", po::value(&Result.Fleet.Agents), "hosts with an upstream")(
      "balancers", po::value(&Result.Fleet.Balancers), "hosts before them")(
      "net", po::value(&Net), "second byte of the addresses, 1 to 254");
  po::variables_map Given;
  try {
    po::store(po::parse_command_line(Count, Values, Text), Given);
    if (Given.count("help")) {
      std::cout << Text;
      return std::nullopt;
    }
    po::notify(Given);
  } catch (const po::error &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return std::nullopt;
  }
  Result.Fleet.Net = static_cast<uint8_t>(Net);
  return Result;
}

} // namespace

int main(int Count, char **Values) {
  constexpr int ExitUsage = 2;
  const auto Given = parse(Count, Values);
  if (!Given)
    return ExitUsage;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Run Soak(*Given);
    return Soak.run() ? 0 : 1;
  } catch (const std::exception &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return ExitUsage;
  }
}
