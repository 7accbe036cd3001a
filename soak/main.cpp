// Runs the real balancers and agents under random faults and checks the users'
// rules against what callers and upstreams observe.
//
//   soak --program dragonflystall-node --folder DIR [--seed N] [--seconds N]
#include "soak/faults.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

using namespace dragonflystall;

namespace {

/// Time without faults after the start.
constexpr Duration WarmUp = 4s;
/// Upper bound of the deployment's recovery time after the last fault.
constexpr Duration MaxRecoveryTime = 12s;
/// Time without faults after the recovery in which requests are counted.
constexpr Duration QuietPeriod = 6s;
constexpr Duration TickInterval = 5ms;

struct Options {
  soak::FleetOptions Fleet;
  uint64_t Seed = 1;
  int Seconds = 60;
  int MeanIntervalMs = 700;
};

class Run {
public:
  explicit Run(const Options &Given)
      : Shared_("soak"), Fleet_(Shared_, Given.Fleet),
        Faults_(Shared_, Fleet_, Given.Seed),
        Ticker_(Shared_.Base.get(), TickInterval, [this] { tick(); }) {
    Shared_.Rng.seed(Given.Seed);
    const TimePoint Begin = Shared_.now() + WarmUp;
    Faults_.plan(Begin, Begin + std::chrono::seconds(Given.Seconds),
                 std::chrono::milliseconds(Given.MeanIntervalMs));
  }

  /// Prints the report; returns whether no rule was broken.
  bool run() {
    event_base_dispatch(Shared_.Base.get());
    for (const auto &[Name, Count] : Faults_.counts())
      fmt::print("fault {} {}\n", Name, Count);
    print("under faults", OutcomeUnderFaults_);
    print("afterwards", OutcomeAfterwards_);
    fmt::print("in the shortage: {}\n", Fleet_.Checker.shortage());
    const soak::ServedShare Restored = Fleet_.Callers->measuredShare();
    fmt::print("after the loss of power: {} of {} answered\n", Restored.Served,
               Restored.Asked);
    for (const std::string &Text : Fleet_.Checker.violations())
      fmt::print("BROKEN {}\n", Text);
    return Fleet_.Checker.violations().empty();
  }

private:
  static void print(std::string_view Period, const soak::Outcome &Counts) {
    fmt::print("{}: answered {}, busy {}, refused {}, not opened {}, broken "
               "off {}, not answered {}\n",
               Period, Counts.Answered, Counts.Busy, Counts.Refused,
               Counts.NotOpened, Counts.BrokenOff, Counts.Unanswered);
  }

  void tick() {
    const TimePoint Now = Shared_.now();
    Shared_.Log.tick(Now);
    Fleet_.tick(Now);
    Faults_.tick(Now);
    if (!Faults_.isFinished())
      QuietPeriodStart_ = Now + MaxRecoveryTime;
    if (!InQuietPeriod_ && Now >= QuietPeriodStart_) {
      InQuietPeriod_ = true;
      OutcomeUnderFaults_ = Fleet_.Callers->takeOutcome();
    }
    if (Now < QuietPeriodStart_ + QuietPeriod &&
        Fleet_.Checker.violations().size() < MaxViolations)
      return;
    (InQuietPeriod_ ? OutcomeAfterwards_ : OutcomeUnderFaults_) =
        Fleet_.Callers->takeOutcome();
    if (InQuietPeriod_) {
      Fleet_.Checker.onRecovery("in the quiet period after the faults",
                                OutcomeAfterwards_.share(), Now);
      Fleet_.Checker.onRecovery("after the loss of power",
                                Fleet_.Callers->measuredShare(), Now);
    }
    event_base_loopbreak(Shared_.Base.get());
  }

  static constexpr size_t MaxViolations = 5;

  node::Services Shared_;
  soak::Fleet Fleet_;
  soak::Faults Faults_;
  node::Ticker Ticker_;
  TimePoint QuietPeriodStart_{};
  bool InQuietPeriod_ = false;
  soak::Outcome OutcomeUnderFaults_;
  soak::Outcome OutcomeAfterwards_;
};

std::optional<Options> parse(int Count, char **Values) {
  namespace po = boost::program_options;
  Options Result;
  unsigned Net = Result.Fleet.Net;
  po::options_description Description("soak");
  Description.add_options()("help", "print this text")(
      "program", po::value(&Result.Fleet.Program)->required(),
      "path of dragonflystall-node")(
      "folder", po::value(&Result.Fleet.Folder)->required(),
      "existing folder for settings and logs")("seed", po::value(&Result.Seed),
                                               "seed of the random faults")(
      "seconds", po::value(&Result.Seconds),
      "length of the period in which faults begin, in seconds")(
      "apart-ms", po::value(&Result.MeanIntervalMs),
      "mean time between faults, in milliseconds")(
      "agents", po::value(&Result.Fleet.Agents),
      "number of hosts with an agent and an upstream")(
      "balancers", po::value(&Result.Fleet.Balancers), "number of balancers")(
      "net", po::value(&Net), "second byte of the addresses, 1 to 254");
  po::variables_map Given;
  try {
    po::store(po::parse_command_line(Count, Values, Description), Given);
    if (Given.count("help")) {
      std::cout << Description;
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
