// Decides with which addresses a process exchanges internal packets and
// control messages.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_PEERFILTER_H
#define DRAGONFLYSTALL_SRC_SETTINGS_PEERFILTER_H

#include "dragonflystall/settings.h"

#include <vector>

namespace dragonflystall {

class PeerFilter {
public:
  /// While no zone is known, only the addresses in Configured are allowed.
  PeerFilter(std::vector<Endpoint> Configured, std::string OwnZone);

  void update(SettingsPtr Value) { Settings_ = std::move(Value); }
  /// Returns true if the address is in the process's own zone, or in another
  /// known zone while neither zone is out: no packets are exchanged between a
  /// zone that is out and other zones.
  bool allows(uint32_t Ip) const;

private:
  std::vector<Endpoint> Configured_;
  std::string OwnZone_;
  SettingsPtr Settings_ = std::make_shared<Settings>();
};

} // namespace dragonflystall

#endif
