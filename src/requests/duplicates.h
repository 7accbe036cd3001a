// The answers to recent messages, so that a retransmission gets the same answer
// and does not start another execution. This is an optimisation: at-most-once
// execution is ensured by tickets, so the limits on these records can be tight.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_DUPLICATES_H
#define DRAGONFLYSTALL_SRC_REQUESTS_DUPLICATES_H

#include "dragonflystall/message.h"

#include <control.pb.h>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflystall {

/// RFC 7252's EXCHANGE_LIFETIME of 247 s is too long for the memory of a small
/// host. A caller's retransmissions end after 45 s at most, and nearly all come
/// within the first 2 s.
constexpr Duration DuplicateLifetime = 15s;
constexpr size_t MaxDuplicatesPerFlow = 16;
constexpr size_t MaxDuplicates = 16'384;

class Duplicates {
public:
  struct Entry {
    dragonflystall::Token Token;
    uint16_t MessageId = 0;
    TimePoint At;
    /// Not set while the request is in progress.
    std::optional<Message> Reply;
  };

  /// The record of the message with this token and message id, or nullptr.
  const Entry *find(const FlowKey &Flow, const Message &Request) const;
  /// The newest record with this token, or nullptr.
  const Entry *findToken(const FlowKey &Flow, const Token &Token) const;
  void begin(const FlowKey &Flow, const Message &Request, TimePoint Now);
  /// Records the answer to the message; no effect if its record was dropped.
  void finish(const FlowKey &Flow, const Token &Token, uint16_t MessageId,
              const Message &Reply);

  void exportFlow(const FlowKey &Flow, wire::FlowState &Into) const;
  void importFlow(const FlowKey &Flow, const wire::FlowState &From,
                  TimePoint Now);
  void dropFlow(const FlowKey &Flow);
  void tick(TimePoint Now);
  size_t size() const { return Size_; }

private:
  struct Insertion {
    TimePoint At;
    FlowKey Flow;
  };
  void dropOldest(const FlowKey &Flow);
  void add(const FlowKey &Flow, Entry Value);

  /// Invariant: each flow's entries are ordered by time, and no vector is
  /// empty.
  std::unordered_map<FlowKey, std::vector<Entry>, FlowKeyHash> Flows_;
  /// One element per added entry, in order; some entries are gone already.
  std::deque<Insertion> Insertions_;
  size_t Size_ = 0;
};

} // namespace dragonflystall

#endif
