// Looking for the holder of a flow that a balancer does not know: all agents of
// the service are asked at once, and the caller's packets wait for the answers,
// which take a round trip.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_SEARCH_H
#define DRAGONFLYSTALL_SRC_OPAQUE_SEARCH_H

#include "opaque/directory.h"

namespace dragonflystall::opaque {

/// One flow that is being looked for.
struct Search {
  FlowId Flow;
  std::string Service;
  TimePoint Started{};
  /// Agents that have not answered.
  std::vector<AgentId> Open;
  /// Agents that can't tell: they are offered a packet when no other answer is
  /// awaited.
  std::vector<AgentId> Unsure;
  /// Agents that were offered one and have not returned it.
  std::vector<AgentId> Offered;
  /// An agent could not be asked.
  bool Incomplete = false;
  std::vector<HeldPacket> Waiting;

  bool denied() const {
    return Open.empty() && Unsure.empty() && Offered.empty();
  }
};

class Searches {
public:
  /// A search without a result is given up; the caller's next packet starts a
  /// new one.
  static constexpr Duration GiveUpAfter = 600ms;
  static constexpr size_t MostSearches = 512;
  /// Agents that can't tell are asked by a packet after this time, though
  /// others have not answered: a round trip to the farthest, and a margin.
  static constexpr Duration AnswersWithin = 40ms;
  /// What a caller may have in flight.
  static constexpr size_t MostWaiting = 16;

  Search *find(uint64_t Hash);
  /// nullptr when there are too many.
  Search *start(const FlowId &Flow, const std::string &Service,
                const Directory &Agents, TimePoint Now);
  /// Adds a packet; the oldest makes room.
  static void wait(Search &S, const PacketHead &Head, std::string_view Bytes);
  void erase(uint64_t Hash) { Searches_.erase(Hash); }
  /// Removes what has become too old and returns it.
  std::vector<Search> expire(TimePoint Now);
  /// Those that have waited for answers long enough.
  std::vector<Search *> overdue(TimePoint Now);
  size_t size() const { return Searches_.size(); }

private:
  std::unordered_map<uint64_t, Search> Searches_;
};

} // namespace dragonflystall::opaque

#endif
