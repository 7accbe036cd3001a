// An object store in memory with the platform's rules: one rising revision,
// conditional writes, a subtree for each team. For stand-ins and tests.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_MEMORYSTORE_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_MEMORYSTORE_H

#include "objectstore/store.h"

#include <map>

namespace dragonflystall {

class MemoryStore {
public:
  /// Never waits: a watch answers with what has changed until now.
  StoreAnswer call(const StoreCall &Call);
  uint64_t revision() const { return Revision_; }

private:
  StoreAnswer get(const StoreCall &Call) const;
  StoreAnswer list(const StoreCall &Call) const;
  StoreAnswer changes(const StoreCall &Call) const;
  StoreAnswer write(const StoreCall &Call);

  /// Holds tombstones too.
  std::map<std::string, StoredObject> Objects_;
  /// Invariant: names each object once, by its version.
  std::map<uint64_t, std::string> ByVersion_;
  uint64_t Revision_ = 0;
};

static_assert(Store<MemoryStore>);

/// True when the team may write the key: its own subtree of settings/ and
/// rosters/, or anything for the team "operations".
bool mayWrite(const std::string &Team, const std::string &Key);

} // namespace dragonflystall

#endif
