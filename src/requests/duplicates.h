// The answers to recent messages, so that a retransmission gets the answer
// that was given and starts nothing. Only a saving: at-most-once execution
// rests on tickets, so these records may be bounded tightly.
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
/// host; a caller's own retransmissions end after 45 s at most, and nearly all
/// come within the first two.
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
    std::optional<Message> Given;
  };

  /// The record of this very message, nullptr when there is none.
  const Entry *find(const FlowKey &Flow, const Message &Request) const;
  /// The newest record with this token.
  const Entry *findToken(const FlowKey &Flow, const Token &Token) const;
  void begin(const FlowKey &Flow, const Message &Request, TimePoint Now);
  /// Records what was given for the message; nothing if its record is gone.
  void finish(const FlowKey &Flow, const Token &Token, uint16_t MessageId,
              const Message &Given);

  void exportFlow(const FlowKey &Flow, wire::FlowState &Into) const;
  void importFlow(const FlowKey &Flow, const wire::FlowState &From,
                  TimePoint Now);
  void dropFlow(const FlowKey &Flow);
  void tick(TimePoint Now);
  size_t size() const { return Size_; }

private:
  struct Mark {
    TimePoint At;
    FlowKey Flow;
  };
  void dropOldest(const FlowKey &Flow);
  void add(const FlowKey &Flow, Entry Value);

  /// Invariant: each flow's entries are in the order of their time, and no
  /// flow's vector is empty.
  std::unordered_map<FlowKey, std::vector<Entry>, FlowKeyHash> Flows_;
  /// One for each add, in order; some refer to entries that are gone.
  std::deque<Mark> Order_;
  size_t Size_ = 0;
};

} // namespace dragonflystall

#endif
