// `dragonflystall call`: sends one request with the caller library.
#include "arguments.h"

#include "caller/callersocket.h"
#include "dragonflystall/caller.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>

namespace dragonflystall::cli {

namespace {

namespace po = boost::program_options;

struct CallOptions {
  Endpoint Service;
  Endpoint Local;
  Call Request;
  bool Json = false;
};

std::optional<Code> parseMethod(std::string_view Text) {
  constexpr std::array<std::pair<std::string_view, Code>, 4> Methods = {{
      {"GET", Code::Get},
      {"POST", Code::Post},
      {"PUT", Code::Put},
      {"DELETE", Code::Delete},
  }};
  for (const auto &[Name, Method] : Methods)
    if (Name == Text)
      return Method;
  return std::nullopt;
}

po::options_description knownOptions() {
  po::options_description Known(
      "usage: dragonflystall call --service IP:PORT METHOD /path[?query]");
  Known.add_options()("help", "print this text")(
      "service", po::value<std::string>()->required(),
      "the service's address, IP:PORT")("local", po::value<std::string>(),
                                        "send from this IP:PORT")(
      "body", po::value<std::string>()->default_value(""),
      "the request's body")("timeout-ms",
                            po::value<uint32_t>()->default_value(5000),
                            "timeout of the request in milliseconds")(
      "json", "print the result as JSON")("method",
                                          po::value<std::string>()->required(),
                                          "GET, POST, PUT or DELETE")(
      "target", po::value<std::string>()->required(), "path and query");
  return Known;
}

tl::expected<CallOptions, std::string>
toOptions(const po::variables_map &Given) {
  CallOptions Options;
  const auto Service = parseEndpoint(Given["service"].as<std::string>());
  const auto Method = parseMethod(Given["method"].as<std::string>());
  if (!Service)
    return tl::unexpected(std::string("--service: expected IP:PORT"));
  if (!Method)
    return tl::unexpected(
        std::string("method: expected GET, POST, PUT or DELETE"));
  Options.Service = *Service;
  if (Given.count("local") != 0) {
    const auto Local = parseEndpoint(Given["local"].as<std::string>());
    if (!Local)
      return tl::unexpected(std::string("--local: expected IP:PORT"));
    Options.Local = *Local;
  }
  const std::string Target = Given["target"].as<std::string>();
  const size_t Question = Target.find('?');
  Options.Request.Method = *Method;
  Options.Request.Path = Target.substr(0, Question);
  if (Question != std::string::npos)
    Options.Request.Query = Target.substr(Question + 1);
  Options.Request.Body = Given["body"].as<std::string>();
  Options.Request.Timeout =
      std::chrono::milliseconds(Given["timeout-ms"].as<uint32_t>());
  Options.Json = Given.count("json") != 0;
  return Options;
}

/// Runs the call until it has a result, at the latest at its timeout.
CallResult runCall(const CallerSocket &Socket, const Call &Request) {
  const SystemClock Clock;
  Caller Flow((uint64_t{std::random_device()()} << 32) |
              std::random_device()());
  CallerOutput Out;
  Flow.start(Request, Clock.now(), Out);
  for (;;) {
    for (const Message &Datagram : Out.Send)
      Socket.send(Datagram);
    if (!Out.Done.empty())
      return Out.Done.front();
    Out = {};
    const Duration Wait = Flow.nextTick() - Clock.now();
    pollfd Ready = {Socket.descriptor(), POLLIN, 0};
    const auto Milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(Wait).count();
    ::poll(&Ready, 1, static_cast<int>(std::max<int64_t>(Milliseconds, 0)));
    for (const Message &Datagram : Socket.receive())
      Flow.onMessage(Datagram, Clock.now(), Out);
    Flow.tick(Clock.now(), Out);
  }
}

std::string codeText(Code Kind) {
  return fmt::format("{}.{:02}", static_cast<int>(Kind) / 32,
                     static_cast<int>(Kind) % 32);
}

double milliseconds(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

void printResult(const CallResult &Result, bool Json) {
  if (Json) {
    nlohmann::json Report = {{"verdict", name(Result.Outcome)},
                             {"code", codeText(Result.Kind)},
                             {"body", Result.Body},
                             {"took_ms", milliseconds(Result.Took)},
                             {"attempts", Result.Attempts}};
    if (Result.RetryAfter)
      Report["retry_after_ms"] = milliseconds(*Result.RetryAfter);
    const auto Replace = nlohmann::json::error_handler_t::replace;
    fmt::print("{}\n", Report.dump(-1, ' ', false, Replace));
    return;
  }
  fmt::print("{}", Result.Body);
  fmt::print(stderr, "{} {} in {:.1f} ms, {} attempt(s)\n",
             name(Result.Outcome), codeText(Result.Kind),
             milliseconds(Result.Took), Result.Attempts);
}

int exitCodeOf(const CallResult &Result) {
  if (Result.Outcome == Verdict::NotRun)
    return Refused;
  if (Result.Outcome == Verdict::MayHaveRun)
    return Unreachable;
  return Result.Kind < Code::BadRequest ? Success : Failed;
}

} // namespace

int runCallCommand(const Arguments &Args) {
  po::positional_options_description Positions;
  Positions.add("method", 1).add("target", 1);
  const auto Given = parseArguments(Args, knownOptions(), Positions);
  if (!Given)
    return Given.error();
  const auto Options = toOptions(*Given);
  if (!Options) {
    fmt::print(stderr, "{}\n", Options.error());
    return BadUsage;
  }
  auto Socket = CallerSocket::connect(Options->Local, Options->Service);
  if (!Socket) {
    fmt::print(stderr, "cannot open a socket: {}\n", Socket.error());
    return Unreachable;
  }
  const CallResult Result = runCall(*Socket, Options->Request);
  printResult(Result, Options->Json);
  return exitCodeOf(Result);
}

} // namespace dragonflystall::cli
