// Sentences and tables from the JSON of an explanation.
#include "observe/wheretext.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace dragonflystall {

namespace {

using Json = nlohmann::json;
using Row = std::vector<std::string>;

/// Returned by reference for what is missing.
const Json Missing;

/// The value at a path of keys, such as "cost.total"; null if it is missing.
const Json &at(const Json &Value, std::string_view Path) {
  const size_t Dot = Path.find('.');
  const auto It = Value.is_object()
                      ? Value.find(std::string(Path.substr(0, Dot)))
                      : Value.end();
  if (It == Value.end())
    return Missing;
  return Dot == std::string_view::npos ? *It : at(*It, Path.substr(Dot + 1));
}

std::string show(const Json &Value, std::string_view Path) {
  const Json &Field = at(Value, Path);
  if (Field.is_null())
    return "-";
  if (Field.is_number_float())
    return fmt::format("{:g}", Field.get<double>());
  return Field.is_string() ? Field.get<std::string>() : Field.dump();
}

std::string toTable(const std::vector<Row> &Rows) {
  std::vector<size_t> Widths;
  for (const Row &R : Rows)
    for (size_t I = 0; I < R.size(); ++I) {
      Widths.resize(std::max(Widths.size(), I + 1));
      Widths[I] = std::max(Widths[I], R[I].size());
    }
  std::string Text;
  for (const Row &R : Rows) {
    std::string Line = " ";
    for (size_t I = 0; I < R.size(); ++I)
      Line += fmt::format(" {:<{}}", R[I], Widths[I]);
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + "\n";
  }
  return Text;
}

struct Column {
  const char *Title;
  const char *Path;
};
constexpr std::array Costs = {Column{"agent", "agent"},
                              Column{"zone", "zone"},
                              Column{"prospect", "prospect"},
                              Column{"tier", "tier"},
                              Column{"cost", "cost.total"},
                              Column{"load", "cost.load"},
                              Column{"crossing", "cost.crossing"},
                              Column{"cold", "cost.cold"},
                              Column{"failing", "cost.failures"},
                              Column{"repeated", "cost.repeatedSyns"}};
constexpr std::array Inputs = {Column{"agent", "agent"},
                               Column{"state", "state"},
                               Column{"slots", "slots"},
                               Column{"busy", "busy"},
                               Column{"sent", "sentSince"},
                               Column{"open_flows", "openFlows"},
                               Column{"requests/s", "requestRate"},
                               Column{"work_ms", "workMs"},
                               Column{"slowness", "slowness"},
                               Column{"rtt_ms", "roundTripMs"},
                               Column{"cold_ms", "coldMs"},
                               Column{"failing", "failureShare"},
                               Column{"silent_ms", "silentMs"},
                               Column{"report_age_ms", "reportAgeMs"}};

template <typename Columns>
std::string tableOf(const Json &Agents, const Columns &Shown) {
  std::vector<Row> Rows(1);
  for (const Column &C : Shown)
    Rows.front().emplace_back(C.Title);
  for (const Json &Agent : Agents) {
    Row &Line = Rows.emplace_back();
    for (const Column &C : Shown)
      Line.push_back(show(Agent, C.Path));
  }
  return toTable(Rows);
}

/// Why an agent is left out.
std::string reasonOf(const Json &Agent) {
  std::string Reason = show(Agent, "leftOut");
  if (Reason == "paused")
    return fmt::format("paused for another {} ms after a refusal while cold",
                       show(Agent, "pausedMs"));
  if (Reason == "not-taking")
    return fmt::format("takes no new flows: {} (reported {} ms ago)",
                       show(Agent, "state"), show(Agent, "reportAgeMs"));
  return Reason;
}

std::string leftOutText(const Json &Agents) {
  std::vector<Row> Rows;
  for (const Json &Agent : Agents)
    Rows.push_back(
        {show(Agent, "agent"), show(Agent, "zone"), reasonOf(Agent)});
  return toTable(Rows);
}

/// Names of the candidates with this prospect.
std::vector<std::string> named(const Json &Service, const char *Prospect) {
  std::vector<std::string> Names;
  for (const Json &Agent : at(Service, "candidates"))
    if (show(Agent, "prospect") == Prospect)
      Names.push_back(show(Agent, "agent"));
  return Names;
}

std::string sentenceOf(const Json &Answer, const Json &Service) {
  const std::string Outcome = show(Service, "outcome");
  const std::string Name = show(Service, "service");
  if (Outcome == "queued") {
    const std::string Room =
        Service.contains("roomInMs")
            ? fmt::format("room is expected in {} ms",
                          show(Service, "roomInMs"))
            : "it is not known when an upstream will have room";
    return fmt::format("a new flow waits at the balancer: no agent of {} takes "
                       "it now; {}",
                       Name, Room);
  }
  if (Outcome == "queue-full")
    return fmt::format("a new flow is refused: the queue of {} is full ({} "
                       "flows)",
                       Name, show(Service, "waitingFlows"));
  if (Outcome != "placed" && at(Service, "candidates").empty() &&
      at(Service, "leftOut").empty())
    return fmt::format("a new flow is refused: no agent of {} is known", Name);
  if (Outcome != "placed")
    return fmt::format("a new flow is refused: no agent of {} is expected to "
                       "have room before its deadline",
                       Name);
  std::string Text =
      fmt::format("a new flow goes to {} of {}", show(Service, "first"), Name);
  if (const auto Others = named(Service, "within-jitter"); !Others.empty())
    Text += fmt::format("; or, since {} at the most is added to each cost at "
                        "random, to {}",
                        show(Answer, "jitter"), fmt::join(Others, ", "));
  if (const auto Probes = named(Service, "probe"); !Probes.empty())
    Text += fmt::format("; with a probability of {} each, as a probe, to {}",
                        show(Answer, "probeShare"), fmt::join(Probes, ", "));
  return Text;
}

std::string agentsText(const Json &Service) {
  std::string Text;
  const Json &Candidates = at(Service, "candidates");
  if (!Candidates.empty())
    Text +=
        fmt::format("candidates, best first ({} of {}):\n{}{}",
                    Candidates.size(), show(Service, "candidateCount"),
                    tableOf(Candidates, Costs), tableOf(Candidates, Inputs));
  const Json &LeftOut = at(Service, "leftOut");
  if (!LeftOut.empty())
    Text += fmt::format("left out ({}):\n{}", show(Service, "leftOutCounts"),
                        leftOutText(LeftOut));
  return Text;
}

std::string serviceText(const Json &Answer, const Json &Service) {
  std::string Text =
      fmt::format("\nservice {}, weight {}: ", show(Service, "service"),
                  show(Service, "weight"));
  if (show(Service, "possible") != "true")
    return Text + (show(Service, "takesFlows") == "true"
                       ? "the flow goes to another service\n"
                       : "none of its agents takes new flows\n");
  Text += sentenceOf(Answer, Service) + "\n";
  Text += fmt::format("waiting flows {}, limit of a cold upstream {} new flows "
                      "a second, median work {} ms\n",
                      show(Service, "waitingFlows"), show(Service, "coldPerS"),
                      show(Service, "medianWorkMs"));
  return Text + agentsText(Service);
}

/// The answer if the flow can go to no service.
std::string refusalText(const std::string &Outcome) {
  if (Outcome == "no-manifest")
    return "the balancer has no manifest yet and holds what arrives\n";
  if (Outcome == "no-route")
    return "a new flow is refused: the route is not in the manifest\n";
  return "a new flow is refused: no service of the route takes new flows\n";
}

} // namespace

bool isWhereAnswer(const Json &Answer) {
  return at(Answer, "outcome").is_string() && at(Answer, "services").is_array();
}

std::string toWhereText(const Json &Answer) {
  std::string Text = fmt::format(
      "balancer {} in {}, manifest {}\nroute {}, priority {}, timeout {} ms\n",
      show(Answer, "balancer"), show(Answer, "zone"), show(Answer, "manifest"),
      show(Answer, "route"), show(Answer, "priority"),
      show(Answer, "timeoutMs"));
  if (!at(Answer, "holder").is_null())
    Text += fmt::format("packets of the open flow of {} go to {}\n",
                        show(Answer, "flow"), show(Answer, "holder"));
  const Json &Services = at(Answer, "services");
  if (std::none_of(Services.begin(), Services.end(),
                   [](const Json &S) { return show(S, "possible") == "true"; }))
    Text += refusalText(show(Answer, "outcome"));
  for (const Json &Service : Services)
    Text += serviceText(Answer, Service);
  return Text;
}

} // namespace dragonflystall
