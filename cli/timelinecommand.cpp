// `dragonflystall timeline`: the events of many processes in one order.
#include "arguments.h"

#include "observe/mergedtimeline.h"

#include <fmt/format.h>
#include <fstream>
#include <httplib.h>
#include <thread>

namespace dragonflystall::cli {

namespace {

namespace po = boost::program_options;

constexpr time_t ReadSeconds = 5;
constexpr Duration FollowEvery = 500ms;
constexpr int CounterBits = 16;

struct TimelineOptions {
  std::vector<Endpoint> Hosts;
  TimelineFilter Filter;
  bool Follow = false;
  bool Json = false;
  std::string HtmlFile;
};

po::options_description knownOptions() {
  po::options_description Known(
      "usage: dragonflystall timeline --host IP:PORT ...");
  Known.add_options()("help", "this text")(
      "host", po::value<std::vector<std::string>>()->required()->multitoken(),
      "admin addresses of the processes, IP:PORT")(
      "flow", po::value<std::string>()->default_value(""),
      "only events of the flow of this caller, IP:PORT")(
      "request", po::value<std::string>()->default_value(""),
      "only events of this request, as the lines name it")(
      "since", po::value<double>(), "only the last so many seconds")(
      "rare", "leave out events of single packets, flows and requests")(
      "follow", "go on with new events until interrupted")(
      "json", "print the JSON lines")(
      "html", po::value<std::string>()->default_value(""),
      "write a page with a lane for each process to this file");
  return Known;
}

HybridTime secondsAgo(double Seconds) {
  using namespace std::chrono;
  const auto Now =
      duration<double, std::milli>(system_clock::now().time_since_epoch());
  return static_cast<HybridTime>(Now.count() - 1e3 * Seconds) << CounterBits;
}

tl::expected<TimelineOptions, std::string>
toOptions(const po::variables_map &Given) {
  TimelineOptions Options;
  for (const auto &Text : Given["host"].as<std::vector<std::string>>()) {
    const auto Host = parseEndpoint(Text);
    if (!Host)
      return tl::unexpected(
          fmt::format("--host: expected IP:PORT, not {}", Text));
    Options.Hosts.push_back(*Host);
  }
  Options.Filter.Caller = Given["flow"].as<std::string>();
  Options.Filter.Request = Given["request"].as<std::string>();
  if (Given.count("since") != 0)
    Options.Filter.Since = secondsAgo(Given["since"].as<double>());
  Options.Filter.RareOnly = Given.count("rare") != 0;
  Options.Follow = Given.count("follow") != 0;
  Options.Json = Given.count("json") != 0;
  Options.HtmlFile = Given["html"].as<std::string>();
  return Options;
}

/// False when the process gave no answer.
bool gather(Endpoint Host, const TimelineFilter &Filter, MergedTimeline &Into) {
  httplib::Client Http("http://" + toString(Host));
  Http.set_connection_timeout(ReadSeconds);
  Http.set_read_timeout(ReadSeconds);
  const auto Answer = Http.Get(fmt::format("/timeline?since={}", Filter.Since));
  if (!Answer || Answer->status != 200) {
    fmt::print(stderr, "no time line from {}\n", toString(Host));
    return false;
  }
  Into.add(Answer->body, Filter);
  return true;
}

void print(const MergedTimeline &Whole, bool Json) {
  for (const TimelineEvent &E : Whole.events())
    fmt::print("{}\n", Json ? E.Line : toText(E));
  std::fflush(stdout);
}

/// Each process is asked from where its own last answer ended, because the
/// stamps of idle processes lie behind those of busy ones.
[[noreturn]] void follow(const TimelineOptions &Options,
                         std::vector<HybridTime> From) {
  for (;;) {
    std::this_thread::sleep_for(FollowEvery);
    MergedTimeline New;
    for (size_t I = 0; I < Options.Hosts.size(); ++I) {
      TimelineFilter Filter = Options.Filter;
      Filter.Since = std::max(Filter.Since, From[I]);
      MergedTimeline One;
      gather(Options.Hosts[I], Filter, One);
      From[I] = std::max(From[I], One.next());
      for (const TimelineEvent &E : One.events())
        New.add(E.Line, {});
    }
    New.sort();
    print(New, Options.Json);
  }
}

int run(const TimelineOptions &Options) {
  MergedTimeline Whole;
  bool AllAnswered = true;
  std::vector<HybridTime> From;
  for (Endpoint Host : Options.Hosts) {
    MergedTimeline One;
    AllAnswered = gather(Host, Options.Filter, One) && AllAnswered;
    From.push_back(One.next());
    for (const TimelineEvent &E : One.events())
      Whole.add(E.Line, {});
  }
  Whole.sort();
  if (!Options.HtmlFile.empty()) {
    std::ofstream(Options.HtmlFile) << toHtml(Whole);
    fmt::print("{} events in {}\n", Whole.events().size(), Options.HtmlFile);
  } else {
    print(Whole, Options.Json);
  }
  if (Options.Follow)
    follow(Options, std::move(From));
  return AllAnswered ? Success : Unreachable;
}

} // namespace

int runTimelineCommand(const Arguments &Args) {
  const auto Given = parseArguments(Args, knownOptions());
  if (!Given)
    return Given.error();
  const auto Options = toOptions(*Given);
  if (!Options) {
    fmt::print(stderr, "{}\n", Options.error());
    return BadUsage;
  }
  return run(*Options);
}

} // namespace dragonflystall::cli
