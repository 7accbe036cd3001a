// `dragonflystall timeline`: merges the events of many processes in the order
// of their timestamps.
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
constexpr Duration FollowInterval = 500ms;
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
  Known.add_options()("help", "print this text")(
      "host", po::value<std::vector<std::string>>()->required()->multitoken(),
      "administration addresses of the processes, IP:PORT")(
      "flow", po::value<std::string>()->default_value(""),
      "only events of the flow of this caller, IP:PORT")(
      "request", po::value<std::string>()->default_value(""),
      "only events of this request, by its name in the events")(
      "since", po::value<double>(),
      "only events at most this many seconds old")(
      "rare", "leave out events of single packets, flows and requests")(
      "follow", "print new events until interrupted")(
      "json", "print the events as JSON lines")(
      "html", po::value<std::string>()->default_value(""),
      "write an HTML page with a lane for each process to this file");
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

/// Returns false if the process did not return its time line.
bool fetchEvents(Endpoint Host, const TimelineFilter &Filter,
                 MergedTimeline &Into) {
  httplib::Client Http("http://" + toString(Host));
  Http.set_connection_timeout(ReadSeconds);
  Http.set_read_timeout(ReadSeconds);
  const auto Answer = Http.Get(fmt::format("/timeline?since={}", Filter.Since));
  if (!Answer || Answer->status != 200) {
    fmt::print(stderr, "cannot read the time line of {}\n", toString(Host));
    return false;
  }
  Into.add(Answer->body, Filter);
  return true;
}

void print(const MergedTimeline &Merged, bool Json) {
  for (const TimelineEvent &Event : Merged.events())
    fmt::print("{}\n", Json ? Event.Line : toText(Event));
  std::fflush(stdout);
}

/// Requests from each process the events after the last one that it returned,
/// because the timestamps of idle processes lie behind those of busy ones.
[[noreturn]] void follow(const TimelineOptions &Options,
                         std::vector<HybridTime> From) {
  for (;;) {
    std::this_thread::sleep_for(FollowInterval);
    MergedTimeline New;
    for (size_t I = 0; I < Options.Hosts.size(); ++I) {
      TimelineFilter Filter = Options.Filter;
      Filter.Since = std::max(Filter.Since, From[I]);
      MergedTimeline Fetched;
      fetchEvents(Options.Hosts[I], Filter, Fetched);
      From[I] = std::max(From[I], Fetched.next());
      for (const TimelineEvent &Event : Fetched.events())
        New.add(Event.Line, {});
    }
    New.sort();
    print(New, Options.Json);
  }
}

int run(const TimelineOptions &Options) {
  MergedTimeline Merged;
  bool AllAnswered = true;
  std::vector<HybridTime> From;
  for (Endpoint Host : Options.Hosts) {
    MergedTimeline Fetched;
    AllAnswered = fetchEvents(Host, Options.Filter, Fetched) && AllAnswered;
    From.push_back(Fetched.next());
    for (const TimelineEvent &Event : Fetched.events())
      Merged.add(Event.Line, {});
  }
  Merged.sort();
  if (!Options.HtmlFile.empty()) {
    std::ofstream(Options.HtmlFile) << toHtml(Merged);
    fmt::print("{} events in {}\n", Merged.events().size(), Options.HtmlFile);
  } else {
    print(Merged, Options.Json);
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
