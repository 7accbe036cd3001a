// The table of keys in a process's settings file, and the checks that involve
// several keys.
#include "settings/hostsettings.h"

#include "settings/schema.h"

#include <fmt/format.h>

namespace dragonflystall {

namespace {

constexpr int64_t MaxSlots = 4096;
constexpr int64_t MaxConnections = 1'000'000;
constexpr int64_t MaxAddresses = 64;

Endpoint endpointOf(const Json &Value) {
  return *parseEndpoint(Value.get_ref<const std::string &>());
}

std::vector<Endpoint> endpointsOf(const Json &List) {
  std::vector<Endpoint> Out;
  for (const Json &Entry : List)
    Out.push_back(endpointOf(Entry));
  return Out;
}

EntryMode entryModeOf(const Json &Value) {
  return Value == EntryModeNames[0] ? EntryMode::Direct : EntryMode::Proxy;
}

using HostField = Field<HostSettings>;

const std::array Fields = {
    HostField{{.Path = "name",
               .Type = KeyType::Name,
               .Required = true,
               .Help = "The process's name; for an agent, its upstream's."},
              [](HostSettings &H, const Json &V) { H.Name = V; }},
    HostField{{.Path = "zone",
               .Type = KeyType::Name,
               .Required = true,
               .Help = "The availability zone that the host is in."},
              [](HostSettings &H, const Json &V) { H.Zone = V; }},
    HostField{{.Path = "data",
               .Type = KeyType::Address,
               .Required = true,
               .Help = "UDP address for packets between our processes."},
              [](HostSettings &H, const Json &V) { H.Data = endpointOf(V); }},
    HostField{
        {.Path = "control",
         .Type = KeyType::Address,
         .Required = true,
         .Help = "TCP address for control messages between our processes."},
        [](HostSettings &H, const Json &V) { H.Control = endpointOf(V); }},
    HostField{{.Path = "admin",
               .Type = KeyType::Address,
               .Required = true,
               .Help = "HTTP address of the administration API."},
              [](HostSettings &H, const Json &V) { H.Admin = endpointOf(V); }},
    HostField{
        {.Path = "platform",
         .Type = KeyType::Addresses,
         .Required = true,
         .Min = 1,
         .Max = MaxAddresses,
         .Help = "Addresses of the platform's object API."},
        [](HostSettings &H, const Json &V) { H.Platform = endpointsOf(V); }},
    HostField{{.Path = "peers",
               .Type = KeyType::Addresses,
               .Default = "[]",
               .Max = MaxAddresses,
               .Help =
                   "Control addresses of processes to learn the settings from "
                   "when the platform is down."},
              [](HostSettings &H, const Json &V) { H.Peers = endpointsOf(V); }},
    HostField{{.Path = "entry",
               .Type = KeyType::Address,
               .Help = "Balancers in proxy mode: UDP address for the fabric's "
                       "PROXY protocol v2 datagrams."},
              [](HostSettings &H, const Json &V) { H.Entry = endpointOf(V); }},
    HostField{{.Path = "entry_mode",
               .Type = KeyType::Choice,
               .Default = "\"direct\"",
               .Choices = "direct|proxy",
               .Help =
                   "Balancers: bind the services' addresses (direct), or take "
                   "the fabric's PROXY protocol v2 datagrams (proxy)."},
              [](HostSettings &H, const Json &V) { H.Mode = entryModeOf(V); }},
    HostField{{.Path = "team",
               .Type = KeyType::Name,
               .Help = "Agents: the team that owns the service."},
              [](HostSettings &H, const Json &V) { H.Team = V; }},
    HostField{{.Path = "service",
               .Type = KeyType::Name,
               .Help = "Agents: the service that the upstream serves."},
              [](HostSettings &H, const Json &V) { H.Service = V; }},
    HostField{
        {.Path = "upstream",
         .Type = KeyType::Address,
         .Help = "Agents: the upstream's HTTP address."},
        [](HostSettings &H, const Json &V) { H.Upstream = endpointOf(V); }},
    HostField{{.Path = "slots",
               .Unit = "requests",
               .Default = "4",
               .Min = 1,
               .Max = MaxSlots,
               .Help = "Agents: requests that the upstream runs at once."},
              [](HostSettings &H, const Json &V) { H.Slots = V; }},
    HostField{{.Path = "connections",
               .Unit = "flows",
               .Default = "2000",
               .Min = 1,
               .Max = MaxConnections,
               .Help = "Agents: flows that the upstream may hold."},
              [](HostSettings &H, const Json &V) { H.Connections = V; }},
};

/// An agent has the keys team, service and upstream; a balancer has none of
/// them.
void checkRole(const HostSettings &Host, const Json &Object,
               SettingErrors &Errors) {
  const std::array<std::string_view, 3> AgentKeys = {"team", "service",
                                                     "upstream"};
  size_t AgentKeysPresent = 0;
  for (const std::string_view Name : AgentKeys)
    AgentKeysPresent += Object.contains(Name) ? 1 : 0;
  if (AgentKeysPresent == 0) {
    if (Host.Mode == EntryMode::Proxy && !Object.contains("entry"))
      Errors.push_back({"/entry", "this key; entry_mode is \"proxy\""});
    return;
  }
  for (const std::string_view Name : AgentKeys)
    if (!Object.contains(Name))
      Errors.push_back({fmt::format("/{}", Name),
                        "this key; an agent has team, service and upstream"});
  for (const std::string_view Name : {"entry", "entry_mode"})
    if (Object.contains(Name))
      Errors.push_back(
          {fmt::format("/{}", Name), "no such key in an agent's settings"});
}

/// Two listeners of the same protocol must not share an address.
void checkListeners(const HostSettings &Host, SettingErrors &Errors) {
  if (Host.Control && Host.Control == Host.Admin)
    Errors.push_back({"/admin", "an address other than /control"});
  if (Host.Data && Host.Data == Host.Entry)
    Errors.push_back({"/entry", "an address other than /data"});
}

} // namespace

std::vector<Key> hostKeys() {
  std::vector<Key> Keys;
  Keys.reserve(Fields.size());
  for (const HostField &F : Fields)
    Keys.push_back(F.Rule);
  return Keys;
}

tl::expected<HostSettings, SettingErrors>
parseHostSettings(const std::string &Text) {
  SettingErrors Errors;
  HostSettings Host;
  const std::optional<Json> Object = parseJson(Text, Errors);
  if (!Object)
    return tl::unexpected(std::move(Errors));
  readObject(std::span<const HostField>(Fields), *Object, Host, Errors);
  if (Object->is_object()) {
    checkRole(Host, *Object, Errors);
    checkListeners(Host, Errors);
  }
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Host;
}

} // namespace dragonflystall
