// The tables of keys in service and zone settings, and their parsing.
#include "settings/objects.h"

#include "settings/schema.h"

#include <fmt/format.h>

namespace dragonflystall {

namespace {

constexpr std::string_view ServicesPart = "/services/";
constexpr std::string_view ZonesPrefix = "settings/zones/";
constexpr int64_t MaxAddresses = 64;
constexpr int64_t MaxZones = 64;
constexpr int64_t MaxNetworks = 256;
constexpr int64_t MaxDrained = 1000;

std::vector<std::string> textsOf(const Json &List) {
  return List.get<std::vector<std::string>>();
}

std::vector<Endpoint> endpointsOf(const Json &List) {
  std::vector<Endpoint> Out;
  for (const Json &Entry : List)
    Out.push_back(*parseEndpoint(Entry.get_ref<const std::string &>()));
  return Out;
}

std::vector<Network> networksOf(const Json &List) {
  std::vector<Network> Out;
  for (const Json &Entry : List)
    Out.push_back(*parseNetwork(Entry.get_ref<const std::string &>()));
  return Out;
}

std::chrono::milliseconds millisecondsOf(const Json &Value) {
  return std::chrono::milliseconds(Value.get<int64_t>());
}

using ServiceField = Field<ServiceSettings>;
using ZoneField = Field<ZoneSettings>;

const std::array ServiceFields = {
    ServiceField{
        {.Path = "addresses",
         .Type = KeyType::Addresses,
         .Required = true,
         .Min = 1,
         .Max = MaxAddresses,
         .Help = "What callers send to. No two services share an address."},
        [](ServiceSettings &S, const Json &V) {
          S.Addresses = endpointsOf(V);
        }},
    ServiceField{
        {.Path = "zones",
         .Type = KeyType::Names,
         .Default = "[]",
         .Max = MaxZones,
         .Help = "The availability zones whose upstreams may serve; an empty "
                 "list stands for all."},
        [](ServiceSettings &S, const Json &V) { S.Zones = textsOf(V); }},
    ServiceField{{.Path = "limits/slots",
                  .Unit = "requests",
                  .Default = "4",
                  .Min = 1,
                  .Max = 4096,
                  .Help = "Requests that an upstream runs at once, at most."},
                 [](ServiceSettings &S, const Json &V) { S.MaxSlots = V; }},
    ServiceField{
        {.Path = "limits/connections",
         .Unit = "flows",
         .Default = "2000",
         .Min = 1,
         .Max = 1'000'000,
         .Help = "Flows that an upstream holds, at most."},
        [](ServiceSettings &S, const Json &V) { S.MaxConnections = V; }},
    ServiceField{{.Path = "limits/queue",
                  .Unit = "requests",
                  .Default = "16",
                  .Min = 0,
                  .Max = 65'536,
                  .Help = "Requests that wait for a slot of an upstream, at "
                          "most. More are refused at once."},
                 [](ServiceSettings &S, const Json &V) { S.MaxQueue = V; }},
    ServiceField{{.Path = "request_timeout_ms",
                  .Unit = "ms",
                  .Default = "5000",
                  .Min = 10,
                  .Max = 600'000,
                  .Help = "How long a request may take when its caller names "
                          "no timeout."},
                 [](ServiceSettings &S, const Json &V) {
                   S.RequestTimeout = millisecondsOf(V);
                 }},
    ServiceField{{.Path = "ticket_lifetime_ms",
                  .Unit = "ms",
                  .Default = "60000",
                  .Min = 1000,
                  .Max = 3'600'000,
                  .Help = "How long a one-time ticket can be used."},
                 [](ServiceSettings &S, const Json &V) {
                   S.TicketLifetime = millisecondsOf(V);
                 }},
    ServiceField{{.Path = "flow_idle_timeout_s",
                  .Unit = "s",
                  .Default = "3600",
                  .Min = 10,
                  .Max = 604'800,
                  .Help = "A flow that was silent for so long is forgotten."},
                 [](ServiceSettings &S, const Json &V) {
                   S.FlowIdleTimeout = std::chrono::seconds(V.get<int64_t>());
                 }},
    ServiceField{
        {.Path = "retry_percent",
         .Unit = "per 100 requests",
         .Default = "10",
         .Min = 0,
         .Max = 100,
         .Help =
             "Tries at another upstream after the first one had the request."},
        [](ServiceSettings &S, const Json &V) { S.RetryPercent = V; }},
    ServiceField{
        {.Path = "hedge_percent",
         .Unit = "per 100 requests",
         .Default = "0",
         .Min = 0,
         .Max = 20,
         .Help = "Idempotent requests that are also sent to a second upstream "
                 "because the first one is slow, at most; 0: none."},
        [](ServiceSettings &S, const Json &V) { S.HedgePercent = V; }},
    ServiceField{
        {.Path = "max_body_bytes",
         .Unit = "bytes",
         .Default = "2097152",
         .Min = 1024,
         .Max = 16 << 20,
         .Help = "The largest body of a request or an answer."},
        [](ServiceSettings &S, const Json &V) { S.MaxMessageBytes = V; }},
    ServiceField{
        {.Path = "drained",
         .Type = KeyType::Names,
         .Default = "[]",
         .Max = MaxDrained,
         .Help = "Names of the agents that are to leave: they take nothing "
                 "new and hand their flows over."},
        [](ServiceSettings &S, const Json &V) { S.Drained = textsOf(V); }},
};

const std::array ZoneFields = {
    ZoneField{{.Path = "state",
               .Type = KeyType::Choice,
               .Required = true,
               .Choices = "in|out",
               .Help = "\"out\": no packet goes into the zone, and its flows "
                       "are given up."},
              [](ZoneSettings &Z, const Json &V) { Z.Evacuated = V == "out"; }},
    ZoneField{
        {.Path = "networks",
         .Type = KeyType::Networks,
         .Required = true,
         .Min = 1,
         .Max = MaxNetworks,
         .Help = "Where our processes in the zone have their addresses. "
                 "No two zones share one."},
        [](ZoneSettings &Z, const Json &V) { Z.Networks = networksOf(V); }},
};

template <typename Fields> std::vector<Key> keysOf(const Fields &Table) {
  std::vector<Key> Keys;
  Keys.reserve(Table.size());
  for (const auto &F : Table)
    Keys.push_back(F.Rule);
  return Keys;
}

ServiceSettings emptyService(const SettingsKey &Key) {
  ServiceSettings Service;
  Service.Team = Key.Team;
  Service.Name = Key.Name;
  Service.Id = serviceId(Key.Team, Key.Name);
  return Service;
}

} // namespace

std::optional<SettingsKey> parseSettingsKey(std::string_view Text) {
  if (Text.starts_with(ZonesPrefix)) {
    const std::string_view Name = Text.substr(ZonesPrefix.size());
    if (!validName(Name))
      return std::nullopt;
    return SettingsKey{SettingsKind::Zone, "", std::string(Name)};
  }
  const size_t Middle = Text.find(ServicesPart);
  if (!Text.starts_with(SettingsPrefix) || Middle == std::string_view::npos ||
      Middle < SettingsPrefix.size())
    return std::nullopt;
  const std::string_view Team =
      Text.substr(SettingsPrefix.size(), Middle - SettingsPrefix.size());
  const std::string_view Name = Text.substr(Middle + ServicesPart.size());
  if (!validName(Team) || !validName(Name))
    return std::nullopt;
  return SettingsKey{SettingsKind::Service, std::string(Team),
                     std::string(Name)};
}

std::string serviceKey(std::string_view Team, std::string_view Name) {
  return fmt::format("{}{}{}{}", SettingsPrefix, Team, ServicesPart, Name);
}

std::string zoneKey(std::string_view Name) {
  return fmt::format("{}{}", ZonesPrefix, Name);
}

ReadSettings readSettings(const SettingsKey &Key, const std::string &Text) {
  ReadSettings Out;
  const std::optional<Json> Object = parseJson(Text, Out.Errors);
  if (Key.Kind == SettingsKind::Service) {
    ServiceSettings Service = emptyService(Key);
    if (Object)
      readObject(std::span<const ServiceField>(ServiceFields), *Object, Service,
                 Out.Errors);
    Out.Value = std::move(Service);
  } else {
    ZoneSettings Zone;
    Zone.Name = Key.Name;
    if (Object)
      readObject(std::span<const ZoneField>(ZoneFields), *Object, Zone,
                 Out.Errors);
    Out.Value = std::move(Zone);
  }
  return Out;
}

SettingsObject readSettingsObject(StoredObject Stored) {
  SettingsObject Out;
  const std::optional<SettingsKey> Key = parseSettingsKey(Stored.Key);
  if (!Key) {
    Out.Errors = {{"", "a key settings/<team>/services/<name> or "
                       "settings/zones/<name>"}};
  } else if (!Stored.Deleted) {
    ReadSettings Read = readSettings(*Key, Stored.Value);
    if (Read.Errors.empty())
      Out.Value = std::make_shared<SettingsValue>(std::move(Read.Value));
    Out.Errors = std::move(Read.Errors);
  }
  Out.Stored = std::move(Stored);
  return Out;
}

std::vector<Key> serviceKeys() { return keysOf(ServiceFields); }

std::vector<Key> zoneKeys() { return keysOf(ZoneFields); }

} // namespace dragonflystall
