// Reads the stand-ins' /runs and compares.
#include "load/evidence.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace dragonflystall::load {

namespace {

constexpr time_t ReadSeconds = 5;

std::optional<UpstreamReport> readReport(Endpoint Upstream) {
  httplib::Client Http("http://" + toString(Upstream));
  Http.set_read_timeout(ReadSeconds);
  const auto Answer = Http.Get("/runs");
  if (!Answer)
    return std::nullopt;
  const auto Json = nlohmann::json::parse(Answer->body, nullptr, false);
  if (!Json.is_object())
    return std::nullopt;
  UpstreamReport Report;
  Report.Name = Json.value("upstream", "");
  Report.Service = Json.value("service", "");
  Report.Runs = Json.value("runs", Report.Runs);
  Report.Peak = Json.value("peak", 0U);
  Report.ColdOverloads = Json.value("cold_overloads", uint64_t{0});
  Report.HotOverloads = Json.value("hot_overloads", uint64_t{0});
  Report.Gets = Json.value("gets", uint64_t{0});
  Report.Posts = Json.value("posts", uint64_t{0});
  Report.Shed = Json.value("shed", uint64_t{0});
  Report.Cancelled = Json.value("cancelled", uint64_t{0});
  return Report;
}

} // namespace

Evidence gather(const std::vector<Endpoint> &Upstreams) {
  Evidence Found;
  for (Endpoint Upstream : Upstreams) {
    auto Report = readReport(Upstream);
    if (Report)
      Found.Upstreams.push_back(std::move(*Report));
    else
      Found.Silent.push_back(Upstream);
  }
  return Found;
}

Judgement judge(const Told &ToldCallers, const Evidence &Seen) {
  std::map<std::string, uint32_t> Runs;
  for (const UpstreamReport &Report : Seen.Upstreams)
    for (const auto &[Key, Count] : Report.Runs)
      Runs[Key] += Count;
  Judgement Result;
  const auto Check = [&](const std::vector<std::string> &Keys, auto Wrong,
                         std::vector<std::string> &Into) {
    for (const std::string &Key : Keys) {
      auto It = Runs.find(Key);
      const uint32_t Count = It != Runs.end() ? It->second : 0;
      if (Count > 1)
        Result.DoubleRuns.push_back(Key);
      if (Wrong(Count))
        Into.push_back(Key);
    }
  };
  const auto Some = [](uint32_t Count) { return Count > 0; };
  const auto None = [](uint32_t Count) { return Count == 0; };
  const auto Never = [](uint32_t) { return false; };
  Check(ToldCallers.NotRun, Some, Result.FalseNotRun);
  Check(ToldCallers.Ran, None, Result.FalseRan);
  Check(ToldCallers.MayHaveRun, Never, Result.FalseRan);
  return Result;
}

} // namespace dragonflystall::load
