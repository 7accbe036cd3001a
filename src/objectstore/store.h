// The platform's object API as typed calls and answers, and the concept that
// its implementations model.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_STORE_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_STORE_H

#include "dragonflystall/types.h"

#include <concepts>
#include <string>
#include <vector>

namespace dragonflystall {

/// An object as stored; Deleted is a tombstone, whose Value is empty.
struct StoredObject {
  std::string Key;
  uint64_t Version = 0;
  std::string Value; ///< JSON text.
  bool Deleted = false;
  /// The mark of the write that made this version.
  std::string Writer = {};
  friend bool operator==(const StoredObject &, const StoredObject &) = default;
};

enum class StoreCallKind : uint8_t { Get, List, Watch, Put, Delete };

constexpr std::array<std::string_view, 5> StoreCallKindNames = {
    "get", "list", "watch", "put", "delete"};
constexpr std::string_view name(StoreCallKind K) {
  return StoreCallKindNames[static_cast<size_t>(K)];
}

constexpr bool isWrite(StoreCallKind K) {
  return K == StoreCallKind::Put || K == StoreCallKind::Delete;
}

struct StoreCall {
  StoreCallKind Kind = StoreCallKind::Get;
  std::string Key; ///< List and Watch: the prefix.
  /// Watch: changes after this revision. Put and Delete: the version that has
  /// to be stored now; 0 stands for "no object".
  uint64_t Version = 0;
  std::string Value = {};
  std::string Writer = {}; ///< The write's mark, kept with the object.
  std::string Team = {};   ///< On whose behalf.
  Duration Wait{};         ///< Watch: how long the platform may hold it.
};

enum class StoreStatus : uint8_t {
  Done,
  Absent,    ///< Get: no such object.
  Conflict,  ///< Another version is stored. Nothing was written.
  Forbidden, ///< Nothing was written.
  Busy,      ///< Too many calls; nothing was done.
  Invalid,   ///< The platform would not take the value, or the answer is
             ///< not one that we understand.
  NotSent,   ///< No connection: nothing was done.
  Lost,      ///< No answer, or a server error: a write may have been done.
};

constexpr std::array<std::string_view, 8> StoreStatusNames = {
    "done", "absent",  "conflict", "forbidden",
    "busy", "invalid", "not-sent", "lost"};
constexpr std::string_view name(StoreStatus S) {
  return StoreStatusNames[static_cast<size_t>(S)];
}

struct StoreAnswer {
  StoreStatus Status = StoreStatus::Lost;
  /// List and Watch: the store's revision. Put and Delete: the new version.
  uint64_t Revision = 0;
  /// Get: the object, or its tombstone. List and Watch: what was found.
  std::vector<StoredObject> Objects = {};
  Duration RetryAfter{}; ///< Busy: when to come back.
  std::string Detail = {};
};

template <typename T>
concept Store = requires(T &S, const StoreCall &Call) {
  { S.call(Call) } -> std::same_as<StoreAnswer>;
};

} // namespace dragonflystall

#endif
