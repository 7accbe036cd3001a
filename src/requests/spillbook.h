// Requests that peers spilled here: each id runs at most once, and what became
// of it can be asked for a while.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_SPILLBOOK_H
#define DRAGONFLYSTALL_SRC_REQUESTS_SPILLBOOK_H

#include "answer.h"

#include <deque>
#include <map>

namespace dragonflystall {

/// An issuer asks within seconds; afterwards its verdict is settled.
constexpr Duration SpillRecordLifetime = 30s;
constexpr size_t MaxSpillRecords = 4096;
constexpr size_t MaxSpillBytes = 16 << 20;
/// Incarnations of peers; ten agents, restarted now and then.
constexpr size_t MaxSpillIssuers = 256;

enum class SpillState : uint8_t {
  New,        ///< Never seen: it may be run.
  InProgress, ///< It was accepted and is not answered.
  Done,       ///< The record has the answer, or the tombstone.
  Forgotten,  ///< Too old to say: it is neither run nor answered.
};

class SpillBook {
public:
  SpillState state(AgentRef Issuer, uint64_t Id) const;
  /// The answer of one that is Done.
  const Answer &answer(AgentRef Issuer, uint64_t Id) const;
  void accept(AgentRef Issuer, uint64_t Id, TimePoint Now);
  /// Also a tombstone, for one that was never seen.
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
    std::map<uint64_t, Record> Known;
    /// Invariant: no record is kept at or below, and nothing is run there.
    uint64_t Floor = 0;
    TimePoint LastAt;
  };
  struct Mark {
    TimePoint At;
    AgentRef Issuer;
    uint64_t Id = 0;
  };
  void add(AgentRef Issuer, uint64_t Id, TimePoint Now);
  void forget(const Mark &Oldest);
  void forgetIssuer();

  std::map<AgentRef, IssuerRecords> Issuers_;
  std::deque<Mark> Order_;
  size_t Records_ = 0;
  size_t Bytes_ = 0;
};

} // namespace dragonflystall

#endif
