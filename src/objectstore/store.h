// Typed calls and answers of the platform's object API, and the concept that
// its implementations satisfy.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_STORE_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_STORE_H

#include "dragonflystall/types.h"

#include <concepts>
#include <string>
#include <vector>

namespace dragonflystall {

/// An object as stored. If Deleted is true, it is a tombstone with an empty
/// Value.
struct StoredObject {
  std::string Key;
  uint64_t Version = 0;
  std::string Value; ///< JSON text.
  bool Deleted = false;
  /// The mark that identifies the write which created this version.
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
  /// Watch: report changes after this revision. Put and Delete: the version
  /// that must be stored now; 0 means that no object exists.
  uint64_t Version = 0;
  std::string Value = {};
  /// Put and Delete: the mark that identifies the write; stored with the
  /// object.
  std::string Writer = {};
  std::string Team = {}; ///< The team on whose behalf the call is made.
  Duration Wait{};       ///< Watch: how long the platform may delay the answer.
};

enum class StoreStatus : uint8_t {
  Done,
  Absent,    ///< Get: the object does not exist.
  Conflict,  ///< A version other than the expected one is stored; nothing was
             ///< written.
  Forbidden, ///< The team may not write the key; nothing was written.
  Busy,      ///< Too many calls; the platform did not execute this one.
  Invalid,   ///< The platform rejected the value, or its answer could not be
             ///< decoded.
  NotSent,   ///< No connection could be made; the call was not executed.
  Lost,      ///< No answer, or a server error: a write may have taken effect.
};

constexpr std::array<std::string_view, 8> StoreStatusNames = {
    "done", "absent",  "conflict", "forbidden",
    "busy", "invalid", "not-sent", "lost"};
constexpr std::string_view name(StoreStatus S) {
  return StoreStatusNames[static_cast<size_t>(S)];
}

struct StoreAnswer {
  StoreStatus Status = StoreStatus::Lost;
  /// List and Watch: the store's revision. Get: the object's version. Put and
  /// Delete: the new version.
  uint64_t Revision = 0;
  /// Get: the object or its tombstone. List: the objects under the prefix.
  /// Watch: the changed objects under the prefix.
  std::vector<StoredObject> Objects = {};
  Duration RetryAfter{}; ///< Busy: how long to wait before the next call.
  std::string Detail = {};
};

template <typename T>
concept Store = requires(T &S, const StoreCall &Call) {
  { S.call(Call) } -> std::same_as<StoreAnswer>;
};

} // namespace dragonflystall

#endif
