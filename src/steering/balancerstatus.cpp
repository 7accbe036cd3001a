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

std::string statusJson(const BalancerStatus &Status, const BalancerCore &Core) {
  nlohmann::json Counters;
  for (size_t I = 0; I < SteerCounterNames.size(); ++I)
    Counters[std::string(SteerCounterNames[I])] =
        Core.counters()[static_cast<SteerCounter>(I)];
  const nlohmann::json Result = {
      {"name", Status.Name},
      {"role", "balancer"},
      {"zone", Status.Zone},
      {"ready", Core.ready() && !Status.Stopping},
      {"stopping", Status.Stopping},
      {"settings_version", Core.settingsVersion()},
      {"settings_seen", Status.SettingsSeen},
      {"refused_settings", Status.RefusedSettings},
      {"rosters", Core.rosterVersions()},
      {"cached_flows", Core.cachedFlows()},
      {"cache_bytes", Core.cacheBytes()},
      {"cache_evictions", Core.cacheEvictions()},
      {"suspects", Core.suspects()},
      {"packets", Counters},
      {"platform_down", Status.PlatformDown},
      {"platform_calls", Status.PlatformCalls},
      {"control_bytes_sent", Status.ControlBytesSent},
      {"control_bytes_received", Status.ControlBytesReceived},
      {"control_dropped", Status.ControlDropped},
      {"malformed_packets", Status.MalformedPackets},
      {"malformed_messages", Status.MalformedMessages},
      {"foreign_messages", Status.ForeignMessages},
      {"unsent_packets", Status.UnsentPackets}};
  return Result.dump();
}

std::string metricsText(const BalancerStatus &Status,
                        const BalancerCore &Core) {
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
  addMetric(Out, "platform_down", "gauge", Status.PlatformDown ? 1 : 0);
  addMetric(Out, "platform_calls_total", "counter", Status.PlatformCalls);
  addMetric(Out, "control_sent_bytes_total", "counter",
            Status.ControlBytesSent);
  addMetric(Out, "control_received_bytes_total", "counter",
            Status.ControlBytesReceived);
  addMetric(Out, "control_dropped_total", "counter", Status.ControlDropped);
  addMetric(Out, "malformed_packets_total", "counter", Status.MalformedPackets);
  addMetric(Out, "malformed_messages_total", "counter",
            Status.MalformedMessages);
  addMetric(Out, "foreign_messages_total", "counter", Status.ForeignMessages);
  addMetric(Out, "unsent_packets_total", "counter", Status.UnsentPackets);
  return Out;
}

} // namespace dragonflystall
