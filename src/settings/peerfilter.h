// With which addresses a process exchanges internal packets and messages.
#ifndef DRAGONFLYSTALL_SRC_SETTINGS_PEERFILTER_H
#define DRAGONFLYSTALL_SRC_SETTINGS_PEERFILTER_H

#include "dragonflystall/settings.h"

#include <vector>

namespace dragonflystall {

class PeerFilter {
public:
  /// Configured peers are let in as long as no zone is known.
  PeerFilter(std::vector<Endpoint> Configured, std::string OwnZone);

  void update(SettingsPtr Value) { Settings_ = std::move(Value); }
  /// True when the address lies in a known zone that is in, or in the own one:
  /// a zone that was taken out gets no packet from elsewhere.
  bool allows(uint32_t Ip) const;

private:
  std::vector<Endpoint> Configured_;
  std::string OwnZone_;
  SettingsPtr Settings_ = std::make_shared<Settings>();
};

} // namespace dragonflystall

#endif
