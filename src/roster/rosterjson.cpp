// The table of a roster entry's JSON keys, and the codec based on it.
#include "roster/rosterjson.h"

#include "settings/schema.h"

#include <charconv>
#include <fmt/format.h>

namespace dragonflystall {

namespace {

constexpr int64_t MaxAgents = 1000;
constexpr size_t IncarnationDigits = 16;

struct EntryDraft {
  RosterEntry Value;
  std::string Incarnation;
};
using EntryField = Field<EntryDraft>;

Endpoint endpointOf(const Json &Value) {
  return *parseEndpoint(Value.get_ref<const std::string &>());
}

AgentPhase phaseOf(const Json &Value) {
  return Value == name(AgentPhase::Leaving) ? AgentPhase::Leaving
                                            : AgentPhase::Serving;
}

const std::array EntryFields = {
    EntryField{{.Path = "id", .Required = true, .Min = 1, .Max = UINT32_MAX},
               [](EntryDraft &E, const Json &V) {
                 E.Value.Agent.Id = AgentId{V.get<uint32_t>()};
               }},
    EntryField{{.Path = "incarnation", .Type = KeyType::Name, .Required = true},
               [](EntryDraft &E, const Json &V) { E.Incarnation = V; }},
    EntryField{{.Path = "name", .Type = KeyType::Name, .Required = true},
               [](EntryDraft &E, const Json &V) { E.Value.Name = V; }},
    EntryField{{.Path = "zone", .Type = KeyType::Name, .Required = true},
               [](EntryDraft &E, const Json &V) { E.Value.Zone = V; }},
    EntryField{
        {.Path = "data", .Type = KeyType::Address, .Required = true},
        [](EntryDraft &E, const Json &V) { E.Value.Data = endpointOf(V); }},
    EntryField{
        {.Path = "control", .Type = KeyType::Address, .Required = true},
        [](EntryDraft &E, const Json &V) { E.Value.Control = endpointOf(V); }},
    EntryField{
        {.Path = "phase",
         .Type = KeyType::Choice,
         .Required = true,
         .Choices = "serving|leaving"},
        [](EntryDraft &E, const Json &V) { E.Value.Phase = phaseOf(V); }},
    EntryField{{.Path = "slots", .Required = true, .Max = UINT32_MAX},
               [](EntryDraft &E, const Json &V) { E.Value.Slots = V; }},
    EntryField{{.Path = "connections", .Required = true, .Max = UINT32_MAX},
               [](EntryDraft &E, const Json &V) { E.Value.Connections = V; }},
};

std::optional<Incarnation> parseIncarnation(std::string_view Text) {
  uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Value, 16);
  if (Error != std::errc() || Stop != End || Text.size() > IncarnationDigits ||
      Value == 0)
    return std::nullopt;
  return Incarnation{Value};
}

std::optional<RosterEntry>
readEntry(const Json &Object, const std::string &Path, SettingErrors &Errors) {
  SettingErrors EntryErrors;
  EntryDraft Draft;
  readObject(std::span<const EntryField>(EntryFields), Object, Draft,
             EntryErrors);
  const auto Start = parseIncarnation(Draft.Incarnation);
  if (EntryErrors.empty() && !Start)
    EntryErrors.push_back(
        {"/incarnation", "1 to 16 hexadecimal digits, not zero"});
  for (SettingError &E : EntryErrors)
    Errors.push_back({Path + E.Path, std::move(E.Expected)});
  if (!EntryErrors.empty())
    return std::nullopt;
  Draft.Value.Agent.Start = *Start;
  return std::move(Draft.Value);
}

Json entryToJson(const RosterEntry &E) {
  return {{"id", static_cast<uint32_t>(E.Agent.Id)},
          {"incarnation",
           fmt::format("{:016x}", static_cast<uint64_t>(E.Agent.Start))},
          {"name", E.Name},
          {"zone", E.Zone},
          {"data", toString(E.Data)},
          {"control", toString(E.Control)},
          {"phase", name(E.Phase)},
          {"slots", E.Slots},
          {"connections", E.Connections}};
}

/// The list under /agents; nullptr, with an error appended, if it is missing,
/// not a list or too long.
const Json *agentList(const Json &Object, SettingErrors &Errors) {
  const Json *List = findValue(Object, "agents");
  if (List && List->is_array() && List->size() <= MaxAgents)
    return List;
  Errors.push_back(
      {"/agents", fmt::format("a list of at most {} agents", MaxAgents)});
  return nullptr;
}

} // namespace

std::string rosterKey(std::string_view Team, std::string_view Name) {
  return fmt::format("rosters/{}/{}", Team, Name);
}

std::string rosterToJson(const Roster &Value) {
  Json Agents = Json::array();
  for (const RosterEntry &E : Value.Agents)
    Agents.push_back(entryToJson(E));
  return Json{{"agents", std::move(Agents)}}.dump();
}

tl::expected<Roster, SettingErrors> rosterFromJson(const std::string &Team,
                                                   const std::string &Name,
                                                   uint64_t Version,
                                                   const std::string &Text) {
  Roster Value;
  Value.Service = serviceId(Team, Name);
  Value.Team = Team;
  Value.Name = Name;
  Value.Version = Version;
  if (Text.empty())
    return Value;
  SettingErrors Errors;
  const std::optional<Json> Object = parseJson(Text, Errors);
  const Json *List = Object ? agentList(*Object, Errors) : nullptr;
  for (size_t I = 0; List && I < List->size(); ++I) {
    const std::string Path = fmt::format("/agents/{}", I);
    auto Entry = readEntry((*List)[I], Path, Errors);
    if (Entry && Value.find(Entry->Agent.Id))
      Errors.push_back({Path + "/id", "an id that no other entry has"});
    else if (Entry)
      upsert(Value, *std::move(Entry));
  }
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Value;
}

} // namespace dragonflystall
