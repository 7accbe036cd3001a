// In-memory object store with the rules of the platform: one increasing
// revision for the whole store, conditional writes, and subtrees that only one
// team may write. Used by the stand-in platform and by tests.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_MEMORYSTORE_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_MEMORYSTORE_H

#include "objectstore/store.h"

#include <map>

namespace dragonflystall {

class MemoryStore {
public:
  /// Never blocks: a watch returns the changes made so far, if any.
  StoreAnswer call(const StoreCall &Call);
  uint64_t revision() const { return Revision_; }

private:
  StoreAnswer get(const StoreCall &Call) const;
  StoreAnswer list(const StoreCall &Call) const;
  StoreAnswer changes(const StoreCall &Call) const;
  StoreAnswer write(const StoreCall &Call);

  /// By key, including tombstones.
  std::map<std::string, StoredObject> Objects_;
  /// Keys by version. Invariant: has exactly one entry for each object, under
  /// its current version.
  std::map<uint64_t, std::string> ByVersion_;
  uint64_t Revision_ = 0;
};

static_assert(Store<MemoryStore>);

/// True if the team may write the key. A team may write the settings of its own
/// services and its own rosters; the team "operations" may write any key.
bool mayWrite(const std::string &Team, const std::string &Key);

} // namespace dragonflystall

#endif
