// What a balancer believes of the agents: which there are, which of them are
// alive, and what each can take.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_DIRECTORY_H
#define DRAGONFLYSTALL_SRC_OPAQUE_DIRECTORY_H

#include "dragonflystall/clock.h"
#include "opaque/control.h"

#include <algorithm>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace dragonflystall::opaque {

/// An agent as one balancer sees it.
struct Agent {
  AgentId Id = AgentId::None;
  AgentEntry Entry;
  /// The entry's revision in the store; 0 when it is not listed there.
  int64_t Revision = 0;
  TimePoint FirstSeen{};
  /// When it last answered; the epoch when it never did.
  TimePoint LastPong{};
  Pong Last;
  /// SYNs sent to it since LastPong.
  uint32_t SentSince = 0;
  /// SYNs that callers had to repeat since LastPong.
  uint32_t Unanswered = 0;
  /// It is cold, has just refused a new flow, and is not tried again before.
  TimePoint RefusesUntil{};
  /// It was asked to answer since LastPong, first at this time.
  TimePoint AskedAt{};

  bool listed() const { return Revision != 0; }
  bool everAnswered() const { return LastPong != TimePoint{}; }
  TimePoint lastSeen() const { return std::max(LastPong, FirstSeen); }
};

class Directory {
public:
  /// An agent that has not answered for so long is left out where others can
  /// be asked: two pings and a margin.
  static constexpr Duration SuspectAfter = 1200ms;
  /// What an agent held that is silent for so long is given up: its callers
  /// are better off with a new flow.
  static constexpr Duration GiveUpAfter = 5s;
  /// An agent that is not listed and silent for so long is forgotten.
  static constexpr Duration ForgetAfter = 2s;
  /// An entry of an agent that is silent for so long is removed from the
  /// store.
  static constexpr Duration RemoveAfter = 20s;

  Directory(std::string Zone, uint64_t Seed)
      : Zone_(std::move(Zone)), Rng_(Seed) {}

  /// The store lists the agent so.
  void list(const AgentEntry &Entry, int64_t Revision, TimePoint Now);
  /// The store lists the agent no more. It stays for as long as it answers.
  void unlist(const std::string &Name);
  /// The store lists these and no others.
  void listAll(const std::vector<std::pair<AgentEntry, int64_t>> &Entries,
               TimePoint Now);
  /// Heard of from a peer or from itself; it may not be listed.
  void hear(const AgentEntry &Entry, TimePoint Now);
  void onPong(const Pong &Message, TimePoint Now);
  void onPingSent(Agent &To, TimePoint Now);
  /// Drops agents that are neither listed nor alive.
  void expire(TimePoint Now);

  Agent *find(AgentId Id);
  Agent *find(const std::string &Name);
  const std::map<std::string, std::unique_ptr<Agent>> &agents() const {
    return Agents_;
  }

  bool suspect(const Agent &A, TimePoint Now) const {
    return silentFor(A, Now) > SuspectAfter;
  }
  bool givenUp(const Agent &A, TimePoint Now) const {
    return silentFor(A, Now) > GiveUpAfter;
  }
  /// It has answered, and does so still.
  bool answers(const Agent &A, TimePoint Now) const {
    return A.everAnswered() && !suspect(A, Now);
  }
  /// How long it has been asked without an answer.
  static Duration silentFor(const Agent &A, TimePoint Now) {
    return A.AskedAt == TimePoint{} ? Duration::zero() : Now - A.AskedAt;
  }
  /// The agent of the service that should get a new flow, but for those in
  /// Tried (see triedBit); nullptr when none is left.
  Agent *choose(const std::string &Service, uint32_t Tried, TimePoint Now);
  /// The agent at this address has refused a new flow.
  void onRefusal(const std::string &Service, Endpoint Packets, TimePoint Now);
  static uint32_t triedBit(const Agent &A);
  /// All agents of a service.
  const std::vector<Agent *> &of(const std::string &Service) const;
  /// When an agent of a service should have room: now if one is open, else when
  /// the next cold one will be warm; std::nullopt when neither is known.
  std::optional<TimePoint> nextRoom(const std::string &Service,
                                    TimePoint Now) const;
  /// Slots of all agents of a service, and of those that are open.
  size_t slotsOf(const std::string &Service) const;
  size_t openSlotsOf(const std::string &Service, TimePoint Now) const;
  /// Listed agents whose entries should be removed: silent for RemoveAfter
  /// while other agents answer.
  std::vector<const Agent *> removable(TimePoint Now) const;

private:
  Agent &upsert(const AgentEntry &Entry, TimePoint Now);
  void erase(const std::string &Name);
  double costOf(const Agent &A);
  void rebuild();

  std::string Zone_;
  Random Rng_;
  std::map<std::string, std::unique_ptr<Agent>> Agents_;
  // Both follow Agents_; rebuild() renews them.
  std::unordered_map<AgentId, Agent *> ById_;
  std::map<std::string, std::vector<Agent *>> ByService_;
};

} // namespace dragonflystall::opaque

#endif
