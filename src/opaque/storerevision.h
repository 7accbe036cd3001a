// A position in the history of the users' store.
#ifndef DRAGONFLYSTALL_SRC_OPAQUE_STOREREVISION_H
#define DRAGONFLYSTALL_SRC_OPAQUE_STOREREVISION_H

#include <compare>
#include <cstdint>
#include <fmt/format.h>
#include <string>

namespace dragonflystall::opaque {

/// The store may come back from an older copy of itself. It then begins a new
/// era, in which its revision numbers go back and are given out again: numbers
/// are comparable within an era only, and any revision of a later era is newer.
struct StoreRevision {
  int64_t Era = 0; ///< 0 if the store names none.
  int64_t Number = 0;

  /// Revisions of the store begin above 0; 0 stands for none.
  bool isSet() const { return Number != 0; }
  friend auto operator<=>(const StoreRevision &,
                          const StoreRevision &) = default;
};

inline std::string toString(StoreRevision Revision) {
  return fmt::format("{}/{}", Revision.Era, Revision.Number);
}

} // namespace dragonflystall::opaque

#endif
