// New flows that wait at a balancer. After a failure of many hosts all
// upstreams of a service are cold at once, bear a few new flows a second, and
// are warm a second or two later: a caller whose timeout is longer than that is
// better served late than refused three times in a row.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_OPENQUEUE_H
#define DRAGONFLYSTALL_SRC_OPAQUE_OPENQUEUE_H

#include "opaque/manifest.h"
#include "opaque/packet.h"

#include <vector>

namespace dragonflystall::opaque {

class OpenQueue {
public:
  /// After so long without an answer to its SYN a caller ends the attempt, and
  /// comes back with a new one.
  static constexpr Duration AttemptLength = 1400ms;

  /// Returns whether there was room: at most MostOfService flows of the
  /// route's service wait.
  bool add(const PacketHead &Head, std::string_view Bytes, const Route &Route,
           size_t MostOfService, TimePoint Now);
  /// A copy of a SYN came; returns whether its flow waits.
  bool refresh(uint64_t Hash, const PacketHead &Head, std::string_view Bytes);
  /// Takes up to Count flows: the most urgent ones, and of those the ones that
  /// have waited longest.
  std::vector<HeldPacket> take(const std::string &Service, size_t Count);
  /// Drops attempts that their callers have ended.
  void expire(TimePoint Now);

  size_t size() const { return Waiting_.size(); }
  size_t sizeOf(const std::string &Service) const;
  std::vector<std::string> services() const;

private:
  struct Entry {
    uint64_t Hash;
    std::string Service;
    uint32_t Priority;
    TimePoint Ends;
    HeldPacket Packet;
  };
  std::vector<Entry> Waiting_; ///< In the order of arrival.
};

} // namespace dragonflystall::opaque

#endif
