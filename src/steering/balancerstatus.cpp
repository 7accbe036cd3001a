// Renders a balancer's status and metrics.
#include "balancerstatus.h"

#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>

namespace dragonflystall {

namespace {

void addMetric(std::string &Out, std::string_view Name, std::string_view Type,
               uint64_t Value) {
  fmt::format_to(std::back_inserter(Out),
                 "# TYPE dragonflystall_{0} {1}\ndragonflystall_{0} {2}\n",
                 Name, Type, Value);
}

} // namespace

std::string statusJson(const BalancerStatus &Shell, const BalancerCore &Core) {
  nlohmann::json Counters;
  for (size_t I = 0; I < SteerCounterNames.size(); ++I)
    Counters[std::string(SteerCounterNames[I])] =
        Core.counters()[static_cast<SteerCounter>(I)];
  const nlohmann::json Status = {
      {"name", Shell.Name},
      {"role", "balancer"},
      {"zone", Shell.Zone},
      {"ready", Core.ready() && !Shell.Stopping},
      {"stopping", Shell.Stopping},
      {"settings_version", Core.settingsVersion()},
      {"settings_seen", Shell.SettingsSeen},
      {"refused_settings", Shell.RefusedSettings},
      {"rosters", Core.rosterVersions()},
      {"cached_flows", Core.cachedFlows()},
      {"cache_bytes", Core.cacheBytes()},
      {"cache_evictions", Core.cacheEvictions()},
      {"suspects", Core.suspects()},
      {"packets", Counters},
      {"platform_down", Shell.PlatformDown},
      {"platform_calls", Shell.PlatformCalls},
      {"control_bytes_sent", Shell.ControlBytesSent},
      {"control_bytes_received", Shell.ControlBytesReceived},
      {"control_dropped", Shell.ControlDropped},
      {"malformed_packets", Shell.MalformedPackets},
      {"malformed_messages", Shell.MalformedMessages},
      {"foreign_messages", Shell.ForeignMessages},
      {"unsent_packets", Shell.UnsentPackets}};
  return Status.dump();
}

std::string metricsText(const BalancerStatus &Shell, const BalancerCore &Core) {
  std::string Out = "# TYPE dragonflystall_steered_packets_total counter\n";
  for (size_t I = 0; I < SteerCounterNames.size(); ++I)
    fmt::format_to(
        std::back_inserter(Out),
        "dragonflystall_steered_packets_total{{outcome=\"{}\"}} {}\n",
        SteerCounterNames[I], Core.counters()[static_cast<SteerCounter>(I)]);
  addMetric(Out, "cached_flows", "gauge", Core.cachedFlows());
  addMetric(Out, "cache_evictions_total", "counter", Core.cacheEvictions());
  addMetric(Out, "suspected_agents", "gauge", Core.suspects());
  addMetric(Out, "settings_version", "gauge", Core.settingsVersion());
  addMetric(Out, "platform_down", "gauge", Shell.PlatformDown ? 1 : 0);
  addMetric(Out, "platform_calls_total", "counter", Shell.PlatformCalls);
  addMetric(Out, "control_sent_bytes_total", "counter", Shell.ControlBytesSent);
  addMetric(Out, "control_received_bytes_total", "counter",
            Shell.ControlBytesReceived);
  addMetric(Out, "control_dropped_total", "counter", Shell.ControlDropped);
  addMetric(Out, "malformed_packets_total", "counter", Shell.MalformedPackets);
  addMetric(Out, "malformed_messages_total", "counter",
            Shell.MalformedMessages);
  addMetric(Out, "foreign_messages_total", "counter", Shell.ForeignMessages);
  addMetric(Out, "unsent_packets_total", "counter", Shell.UnsentPackets);
  return Out;
}

} // namespace dragonflystall
