// Weighted rendezvous hashing of flows over the services of a route.
#include "opaque/route.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace dragonflystall::opaque {

namespace {

/// A number in (0, 1) that is independent for each pair of flow and service.
double uniformOf(uint64_t FlowHash, const std::string &Service) {
  constexpr int MantissaBits = 53;
  const uint64_t Bits =
      XXH3_64bits_withSeed(Service.data(), Service.size(), FlowHash) >>
      (64 - MantissaBits);
  return (static_cast<double>(Bits) + 0.5) / std::exp2(MantissaBits);
}

/// The service with the greatest score takes the flow. The probability for
/// this is the service's share of all weights.
double scoreOf(uint64_t FlowHash, const WeightedService &Service) {
  return -Service.Weight / std::log(uniformOf(FlowHash, Service.Name));
}

} // namespace

bool Route::names(const std::string &Service) const {
  return std::any_of(
      Services.begin(), Services.end(),
      [&](const WeightedService &S) { return S.Name == Service; });
}

bool Route::sendsTo(const std::string &Service) const {
  return std::any_of(Services.begin(), Services.end(),
                     [&](const WeightedService &S) {
                       return S.Weight > 0 && S.Name == Service;
                     });
}

std::vector<const WeightedService *>
Route::preferenceOf(uint64_t FlowHash) const {
  std::vector<std::pair<double, const WeightedService *>> Scored;
  for (const WeightedService &S : Services)
    if (S.Weight > 0)
      Scored.emplace_back(scoreOf(FlowHash, S), &S);
  std::sort(Scored.begin(), Scored.end(), [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first > B.first
                              : A.second->Name < B.second->Name;
  });
  std::vector<const WeightedService *> Result;
  Result.reserve(Scored.size());
  for (const auto &[Score, S] : Scored)
    Result.push_back(S);
  return Result;
}

} // namespace dragonflystall::opaque
