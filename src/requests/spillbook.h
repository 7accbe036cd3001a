// Records of the requests that peers spilled to this agent: each id runs at
// most once, and its outcome can be queried for a limited time.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_SPILLBOOK_H
#define DRAGONFLYSTALL_SRC_REQUESTS_SPILLBOOK_H

#include "answer.h"

#include <deque>
#include <map>

namespace dragonflystall {

/// An issuer queries within seconds; after this time it has given its verdict.
constexpr Duration SpillRecordLifetime = 30s;
constexpr size_t MaxSpillRecords = 4096;
constexpr size_t MaxSpillBytes = 16 << 20;
/// The bound on the incarnations of peers; sized for ten agents that restart
/// occasionally.
constexpr size_t MaxSpillIssuers = 256;

enum class SpillState : uint8_t {
  New,        ///< Never seen: the request may run.
  InProgress, ///< Accepted and not answered yet.
  Done,       ///< The record holds the answer or a tombstone.
  Dropped,    ///< The record was dropped: neither run nor answered.
};

class SpillBook {
public:
  SpillState state(AgentRef Issuer, uint64_t Id) const;
  /// The recorded answer. The state must be Done.
  const Answer &answer(AgentRef Issuer, uint64_t Id) const;
  void accept(AgentRef Issuer, uint64_t Id, TimePoint Now);
  /// Records the answer, or a tombstone for an id that was never seen.
  void settle(AgentRef Issuer, uint64_t Id, const Answer &Outcome,
              TimePoint Now);
  void tick(TimePoint Now);
  size_t records() const { return Records_; }
  size_t bytes() const { return Bytes_; }

private:
  struct Record {
    /// Not set while in progress.
    std::optional<Answer> Outcome;
  };
  struct IssuerRecords {
    std::map<uint64_t, Record> ById;
    /// Invariant: ids up to this one have no record and are not run.
    uint64_t Floor = 0;
    TimePoint LastAt;
  };
  struct Insertion {
    TimePoint At;
    AgentRef Issuer;
    uint64_t Id = 0;
  };
  void add(AgentRef Issuer, uint64_t Id, TimePoint Now);
  void dropUpTo(const Insertion &Oldest);
  void dropOldestIssuer();

  std::map<AgentRef, IssuerRecords> Issuers_;
  std::deque<Insertion> Insertions_;
  size_t Records_ = 0;
  size_t Bytes_ = 0;
};

} // namespace dragonflystall

#endif
