// The speed of merging one changed object into a settings view, at the present
// and at the expected number of services.
#include "bench.h"

#include "settings/settingsview.h"

#include <chrono>
#include <fmt/format.h>

namespace dragonflystall::bench {

namespace {

StoredObject serviceObject(uint32_t Number, uint64_t Version) {
  return {serviceKey(fmt::format("team-{}", Number % 100),
                     fmt::format("service-{}", Number)),
          Version,
          fmt::format(R"({{"addresses":["10.{}.{}.{}:5683"],"zones":["z-1",)"
                      R"("z-2","z-3"],"limits":{{"slots":4,"connections":2000,)"
                      R"("queue":16}},"request_timeout_ms":{}}})",
                      Number >> 16, Number >> 8 & 255, Number & 255,
                      1000 + Version % 1000)};
}

SettingsView viewOf(uint32_t Services) {
  std::vector<StoredObject> Objects;
  uint64_t Version = 0;
  for (uint32_t Zone = 1; Zone <= 9; ++Zone)
    Objects.push_back(
        {zoneKey(fmt::format("z-{}", Zone)), ++Version,
         fmt::format(R"({{"state":"in","networks":["11.{}.0.0/16"]}})", Zone)});
  for (uint32_t Number = 0; Number < Services; ++Number)
    Objects.push_back(serviceObject(Number, ++Version));
  SettingsView View;
  View.merge(Objects);
  return View;
}

Outcome mergeInto(uint32_t Services, uint32_t Changes) {
  SettingsView View = viewOf(Services);
  uint64_t Version = View.version();
  Outcome Result;
  Result.Decisions = Changes;
  const auto Start = std::chrono::steady_clock::now();
  for (uint32_t I = 0; I < Changes; ++I) {
    ++Version;
    View.merge({serviceObject(I * 7919 % Services, Version)});
    Result.Signature = mix(Result.Signature, View.digest().hash());
  }
  Result.Seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
          .count();
  return Result;
}

} // namespace

Outcome mergeSettings() { return mergeInto(10, 20'000); }

Outcome mergeManySettings() { return mergeInto(13'000, 50); }

} // namespace dragonflystall::bench
