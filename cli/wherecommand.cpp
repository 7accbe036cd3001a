// `dragonflystall where`: asks a balancer of opaque flows where a new flow to a
// route would go now, and why.
#include "admin.h"

#include "observe/wheretext.h"
#include "types/jsoninput.h"

#include <charconv>
#include <fmt/format.h>
#include <httplib.h>

namespace dragonflystall::cli {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Summary =
    "Asks a running balancer of opaque flows where a new flow to the route "
    "would go now,\nand prints the candidates in order with all inputs of the "
    "decision, the agents that\nare left out and why, and whether the flow "
    "would wait or be refused. Nothing is sent\nto an upstream. With --flow, "
    "the address of the caller, the service is known if the\nroute names "
    "several.";
constexpr time_t TimeoutSeconds = 2;
/// Limit on an answer, which has some 120 KB for each service at the most.
constexpr JsonLimits AnswerLimits = {.MaxBytes = 8 << 20};

struct HostPort {
  std::string Host;
  int Port = 0;
};

std::optional<HostPort> parseHostPort(const std::string &Text) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return std::nullopt;
  uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Port == 0)
    return std::nullopt;
  return HostPort{Text.substr(0, Colon), Port};
}

/// Prints the error; returns the exit code.
int fail(ExitCode Code, std::string_view Text) {
  fmt::print(stderr, "where: {}\n", Text);
  return Code;
}

std::string targetOf(Endpoint Route, std::optional<Endpoint> Caller) {
  std::string Target = "/where?route=" + toString(Route);
  if (Caller)
    Target += "&flow=" + toString(*Caller);
  return Target;
}

int print(const Json &Answer, const Options &Opts) {
  const std::string Outcome = Answer["outcome"];
  if (Opts.json())
    fmt::print("{}\n", Answer.dump(2));
  if (Outcome == "no-route")
    return fail(UnknownRoute,
                fmt::format("{} is no route of the balancer's manifest",
                            Opts.text("route")));
  if (!Opts.json())
    fmt::print("{}", toWhereText(Answer));
  const bool MayOpen = Outcome == "placed" || Outcome == "queued" ||
                       Outcome == "depends-on-flow";
  return MayOpen ? Success : Failed;
}

int read(const std::string &Body, const Options &Opts) {
  const auto Answer = parseJson(Body, AnswerLimits);
  const std::string Balancer = Opts.text("balancer");
  if (!Answer || !isWhereAnswer(*Answer))
    return fail(Unsupported,
                fmt::format("{} gave another answer than a balancer of this "
                            "version",
                            Balancer));
  try {
    return print(*Answer, Opts);
  } catch (const Json::exception &E) {
    return fail(Unsupported, fmt::format("the answer of {} can't be read: {}",
                                         Balancer, E.what()));
  }
}

int ask(const HostPort &Balancer, const std::string &Target,
        const Options &Opts) {
  httplib::Client Client(Balancer.Host, Balancer.Port);
  Client.set_connection_timeout(TimeoutSeconds);
  Client.set_read_timeout(TimeoutSeconds);
  const auto Result = Client.Get(Target);
  const std::string Name = Opts.text("balancer");
  if (!Result)
    return fail(Unreachable, fmt::format("{} does not answer ({})", Name,
                                         httplib::to_string(Result.error())));
  if (Result->status == 404)
    return fail(Unsupported,
                fmt::format("{} has no /where: it is a balancer of an earlier "
                            "version, or no balancer",
                            Name));
  if (Result->status != 200)
    return fail(Failed, fmt::format("{} refused the question: status {} {}",
                                    Name, Result->status, Result->body));
  return read(Result->body, Opts);
}

} // namespace

int runWhere(const Arguments &Args) {
  Options Opts("where",
               "--balancer HOST:PORT --route ADDRESS:PORT "
               "[--flow ADDRESS:PORT]",
               Summary);
  Opts.addText("balancer",
               "where the balancer serves its metrics, such as 10.0.0.1:9464");
  Opts.addText("route", "the address and port that callers connect to");
  Opts.addText("flow", "the address and port of the caller");
  if (const auto Code = Opts.parse(Args))
    return *Code;
  const auto Balancer = parseHostPort(Opts.text("balancer"));
  if (!Balancer)
    return fail(BadUsage, "--balancer: expected an address such as "
                          "10.0.0.1:9464");
  const auto Route = parseEndpoint(Opts.text("route"));
  if (!Route)
    return fail(BadUsage, "--route: expected an address such as "
                          "198.18.0.1:443");
  const auto Caller = parseEndpoint(Opts.text("flow"));
  if (Opts.has("flow") && !Caller)
    return fail(BadUsage, "--flow: expected an address such as "
                          "100.64.0.7:1085");
  return ask(*Balancer, targetOf(*Route, Caller), Opts);
}

} // namespace dragonflystall::cli
