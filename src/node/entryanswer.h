// What an answer to a call for an agent's entry says, checked against the call.
// A second copy of the answer to an earlier call must not be taken for it: a
// copy of a successful replacement would pass for the removal that follows, and
// the entry of an agent that has left would stay in the store.
#ifndef DRAGONFLYSTALL_SRC_NODE_ENTRYANSWER_H
#define DRAGONFLYSTALL_SRC_NODE_ENTRYANSWER_H

#include "opaque/registration.h"
#include "platform/documents.h"

namespace dragonflystall::node {

/// A call for the entry of this agent.
struct EntryCall {
  opaque::Registration::Call Call = opaque::Registration::Call::Read;
  std::string Name;
  /// The entry that was sent, if any.
  std::optional<opaque::AgentEntry> Entry;
  /// What was last known of the object when the call was made; not set if there
  /// was none. The revision on which a replacement or removal is conditional.
  opaque::StoreRevision Known;
};

struct EntryAnswer {
  enum class Kind : uint8_t {
    Stored,  ///< The store has Object.
    Absent,  ///< The store has no object of the name.
    Refused, ///< The store has refused the call and changed nothing.
    Unknown, ///< The answer can't be read or is not that to the call, which may
             ///< have been carried out.
  };
  Kind Meaning = Kind::Unknown;
  platform::Object Object = {}; ///< If Stored.
};

EntryAnswer readEntryAnswer(const EntryCall &Sent,
                            const HttpResponse &Response);

} // namespace dragonflystall::node

#endif
