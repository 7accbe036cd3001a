// `dragonflystall load`: drives many flows against one or more services and
// writes a report.
#include "arguments.h"

#include "load/generator.h"
#include "load/report.h"

#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace dragonflystall::cli {

namespace {

namespace po = boost::program_options;
using Texts = std::vector<std::string>;

struct LoadCommand {
  load::Options Run;
  std::string JsonFile;
  std::string HtmlFile;
  uint64_t MaxBroken = UINT64_MAX;
  uint64_t MaxRefused = UINT64_MAX;
};

po::options_description knownOptions() {
  po::options_description Known(
      "usage: dragonflystall load --service IP:PORT=NAME[*WEIGHT] ...");
  Known.add_options()("help", "print this text")(
      "service", po::value<Texts>()->required()->composing(),
      "address, service name in the answers, and relative share of the flows")(
      "upstream", po::value<Texts>()->composing(),
      "IP:PORT of a stand-in upstream that reports which requests ran")(
      "flows", po::value<uint32_t>()->default_value(100),
      "number of concurrent flows")(
      "rate", po::value<double>()->default_value(100),
      "calls per second")("warm-up", po::value<double>()->default_value(0),
                          "seconds over which the rate rises")(
      "seconds", po::value<double>()->default_value(10),
      "length of the run in seconds")(
      "post-percent", po::value<uint32_t>()->default_value(30),
      "percentage of POSTs, which must not be repeated")(
      "large-percent", po::value<uint32_t>()->default_value(0),
      "percentage of GETs of a large body")(
      "large-bytes", po::value<uint32_t>()->default_value(65536),
      "size of a large body in bytes")(
      "timeout-ms", po::value<uint32_t>()->default_value(5000),
      "timeout of a call in milliseconds")(
      "ack-timeout-ms", po::value<uint32_t>()->default_value(2000),
      "time before the first retransmission in milliseconds")(
      "seed", po::value<uint64_t>()->default_value(1),
      "random seed for keys, order and retransmissions")(
      "phase-at", po::value<Texts>()->composing(),
      "SECONDS=NAME: start the phase NAME at this time")(
      "phase-file", po::value<std::string>()->default_value(""),
      "lines appended to this file start phases; \"end\" ends the run")(
      "max-broken", po::value<uint64_t>(),
      "fail if more flows than this broke")(
      "max-refused", po::value<uint64_t>(),
      "fail if more calls than this were refused")(
      "json", po::value<std::string>()->implicit_value("-"),
      "write the report as JSON to this file, - for standard output")(
      "html", po::value<std::string>()->default_value(""),
      "write the report as an HTML page to this file");
  return Known;
}

std::optional<load::Target> parseTarget(const std::string &Text) {
  const size_t Equals = Text.find('=');
  if (Equals == std::string::npos)
    return std::nullopt;
  const auto Address = parseEndpoint(Text.substr(0, Equals));
  const size_t Star = Text.find('*', Equals);
  load::Target Result;
  Result.Service = Text.substr(Equals + 1, Star - Equals - 1);
  if (Star != std::string::npos)
    Result.Weight =
        static_cast<uint32_t>(std::strtoul(&Text[Star + 1], nullptr, 10));
  if (!Address || Result.Weight == 0)
    return std::nullopt;
  Result.Address = *Address;
  return Result;
}

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

std::optional<load::PhaseMark> parsePhase(const std::string &Text) {
  const size_t Equals = Text.find('=');
  if (Equals == std::string::npos)
    return std::nullopt;
  return load::PhaseMark{toDuration(std::strtod(Text.c_str(), nullptr)),
                         Text.substr(Equals + 1)};
}

/// Parses all values of an option; the error names the option and the value.
template <typename T, typename F>
tl::expected<std::vector<T>, std::string>
parseAll(const po::variables_map &Given, const std::string &Option, F Parse) {
  std::vector<T> All;
  if (Given.count(Option) == 0)
    return All;
  for (const std::string &Text : Given[Option].as<Texts>()) {
    auto Parsed = Parse(Text);
    if (!Parsed)
      return tl::unexpected(
          fmt::format("--{}: cannot read '{}'", Option, Text));
    All.push_back(std::move(*Parsed));
  }
  return All;
}

tl::expected<LoadCommand, std::string>
toCommand(const po::variables_map &Given) {
  LoadCommand Result;
  load::Options &Run = Result.Run;
  auto Targets = parseAll<load::Target>(Given, "service", parseTarget);
  auto Upstreams = parseAll<Endpoint>(
      Given, "upstream", [](const std::string &T) { return parseEndpoint(T); });
  auto Phases = parseAll<load::PhaseMark>(Given, "phase-at", parsePhase);
  if (!Targets)
    return tl::unexpected(Targets.error());
  if (!Upstreams)
    return tl::unexpected(Upstreams.error());
  if (!Phases)
    return tl::unexpected(Phases.error());
  Run.Targets = std::move(*Targets);
  Run.Upstreams = std::move(*Upstreams);
  Run.Phases = std::move(*Phases);
  Run.Flows = Given["flows"].as<uint32_t>();
  Run.Rate = Given["rate"].as<double>();
  Run.WarmUp = toDuration(Given["warm-up"].as<double>());
  Run.Length = toDuration(Given["seconds"].as<double>());
  Run.PostPercent = Given["post-percent"].as<uint32_t>();
  Run.LargePercent = Given["large-percent"].as<uint32_t>();
  Run.LargeBytes = Given["large-bytes"].as<uint32_t>();
  Run.Timeout = std::chrono::milliseconds(Given["timeout-ms"].as<uint32_t>());
  Run.AckTimeout =
      std::chrono::milliseconds(Given["ack-timeout-ms"].as<uint32_t>());
  Run.Seed = Given["seed"].as<uint64_t>();
  Run.PhaseFile = Given["phase-file"].as<std::string>();
  Run.Progress = ::isatty(STDERR_FILENO) == 1;
  Result.HtmlFile = Given["html"].as<std::string>();
  if (Given.count("json") != 0)
    Result.JsonFile = Given["json"].as<std::string>();
  if (Given.count("max-broken") != 0)
    Result.MaxBroken = Given["max-broken"].as<uint64_t>();
  if (Given.count("max-refused") != 0)
    Result.MaxRefused = Given["max-refused"].as<uint64_t>();
  return Result;
}

bool writeFile(const std::string &Path, const std::string &Text) {
  std::ofstream File(Path);
  File << Text;
  if (File.good())
    return true;
  fmt::print(stderr, "cannot write {}\n", Path);
  return false;
}

int writeReport(const LoadCommand &Command, const load::Report &Report) {
  if (Command.JsonFile == "-")
    fmt::print("{}", load::toJson(Report));
  else
    fmt::print("{}", load::toText(Report));
  bool Written = true;
  if (!Command.JsonFile.empty() && Command.JsonFile != "-")
    Written = writeFile(Command.JsonFile, load::toJson(Report));
  if (!Command.HtmlFile.empty())
    Written = writeFile(Command.HtmlFile, load::toHtml(Report)) && Written;
  uint64_t Refused = 0;
  for (const load::PhaseTally &Phase : Report.Seen.phases())
    Refused += Phase.Refused;
  const bool WithinLimits = load::brokenPromises(Report) == 0 &&
                            Report.Seen.brokenFlows() <= Command.MaxBroken &&
                            Refused <= Command.MaxRefused;
  return Written && WithinLimits ? Success : Failed;
}

} // namespace

int runLoadCommand(const Arguments &Args) {
  const auto Given = parseArguments(Args, knownOptions());
  if (!Given)
    return Given.error();
  const auto Command = toCommand(*Given);
  if (!Command) {
    fmt::print(stderr, "{}\n", Command.error());
    return BadUsage;
  }
  load::Tally Seen(Command->Run.Flows);
  if (auto Driven = load::drive(Command->Run, Seen); !Driven) {
    fmt::print(stderr, "{}\n", Driven.error());
    return Unreachable;
  }
  const load::Evidence Proof = load::gather(Command->Run.Upstreams);
  const load::Judgement Judged = load::judge(Seen.told(), Proof);
  return writeReport(*Command, {Command->Run, Seen, Proof, Judged});
}

} // namespace dragonflystall::cli
