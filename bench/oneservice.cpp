// Settings of one service.
#include "oneservice.h"

namespace dragonflystall::bench {

SettingsPtr oneService(Network Where, Endpoint Address) {
  auto Result = std::make_shared<Settings>();
  ServiceSettings Service;
  Service.Id = serviceId("team", "service");
  Service.Addresses = {Address};
  Result->Version = 1;
  Result->Services = {Service};
  Result->Zones = {{"zone", false, {Where}}};
  return Result;
}

} // namespace dragonflystall::bench
