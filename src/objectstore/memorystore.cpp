// The rules of the platform's object store, implemented on maps.
#include "objectstore/memorystore.h"

namespace dragonflystall {

namespace {

constexpr std::string_view OperationsTeam = "operations";

} // namespace

bool mayWrite(const std::string &Team, const std::string &Key) {
  if (Team.empty())
    return false;
  if (Team == OperationsTeam)
    return true;
  return Key.starts_with("settings/" + Team + "/services/") ||
         Key.starts_with("rosters/" + Team + "/");
}

StoreAnswer MemoryStore::call(const StoreCall &Call) {
  switch (Call.Kind) {
  case StoreCallKind::Get:
    return get(Call);
  case StoreCallKind::List:
    return list(Call);
  case StoreCallKind::Watch:
    return changes(Call);
  case StoreCallKind::Put:
  case StoreCallKind::Delete:
    return write(Call);
  }
  return {};
}

StoreAnswer MemoryStore::get(const StoreCall &Call) const {
  const auto It = Objects_.find(Call.Key);
  if (It == Objects_.end())
    return {.Status = StoreStatus::Absent};
  return {.Status =
              It->second.Deleted ? StoreStatus::Absent : StoreStatus::Done,
          .Revision = It->second.Version,
          .Objects = {It->second}};
}

StoreAnswer MemoryStore::list(const StoreCall &Call) const {
  StoreAnswer Answer{.Status = StoreStatus::Done, .Revision = Revision_};
  for (auto It = Objects_.lower_bound(Call.Key);
       It != Objects_.end() && It->first.starts_with(Call.Key); ++It)
    if (!It->second.Deleted)
      Answer.Objects.push_back(It->second);
  return Answer;
}

StoreAnswer MemoryStore::changes(const StoreCall &Call) const {
  StoreAnswer Answer{.Status = StoreStatus::Done, .Revision = Revision_};
  for (auto It = ByVersion_.upper_bound(Call.Version); It != ByVersion_.end();
       ++It)
    if (It->second.starts_with(Call.Key))
      Answer.Objects.push_back(Objects_.at(It->second));
  return Answer;
}

StoreAnswer MemoryStore::write(const StoreCall &Call) {
  if (!mayWrite(Call.Team, Call.Key))
    return {.Status = StoreStatus::Forbidden,
            .Detail = "team '" + Call.Team + "' may not write " + Call.Key};
  StoredObject &Object = Objects_[Call.Key];
  const uint64_t Stored = Object.Deleted ? 0 : Object.Version;
  if (Stored != Call.Version)
    return {.Status = StoreStatus::Conflict, .Revision = Stored};
  ByVersion_.erase(Object.Version);
  const bool Deleted = Call.Kind == StoreCallKind::Delete;
  Object = {Call.Key, ++Revision_, Deleted ? "" : Call.Value, Deleted,
            Call.Writer};
  ByVersion_[Revision_] = Call.Key;
  return {.Status = StoreStatus::Done, .Revision = Revision_};
}

} // namespace dragonflystall
