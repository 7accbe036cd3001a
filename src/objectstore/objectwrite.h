// One conditional write of an object, from the first attempt to a result. A
// write whose answer was lost is never repeated blindly: the object is read
// again and its writer's mark compared. No I/O.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_OBJECTWRITE_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_OBJECTWRITE_H

#include "objectstore/store.h"

#include <optional>

namespace dragonflystall {

enum class WriteOutcome : uint8_t {
  Written,  ///< In effect.
  Conflict, ///< Another version is stored than the expected one.
  Refused,  ///< The platform would not take it from this team, or at all.
  Unknown,  ///< No clear answer in time: it may be in effect or come to be.
};

constexpr std::array<std::string_view, 4> WriteOutcomeNames = {
    "written", "conflict", "refused", "unknown"};
constexpr std::string_view name(WriteOutcome O) {
  return WriteOutcomeNames[static_cast<size_t>(O)];
}

struct WriteResult {
  WriteOutcome Outcome = WriteOutcome::Unknown;
  /// What is stored now, as far as known. Version 0: no object.
  std::optional<StoredObject> Stored = {};
  std::string Detail = {};
};

class ObjectWrite {
public:
  /// The call is a Put or a Delete. All attempts carry its mark: they expect
  /// the same version, so at most one of them takes effect.
  ObjectWrite(StoreCall Write, TimePoint GiveUp)
      : Write_(std::move(Write)), GiveUp_(GiveUp) {}

  /// The call to make now.
  StoreCall nextCall() const;
  /// Takes the answer to nextCall(). A result ends the write; without one,
  /// nextCall() is to be made, after a pause if the answer was a failure.
  std::optional<WriteResult> onAnswer(const StoreAnswer &Answer, TimePoint Now);
  const StoreCall &write() const { return Write_; }

private:
  std::optional<WriteResult> onWrite(const StoreAnswer &Answer, TimePoint Now);
  std::optional<WriteResult> onReread(const StoreAnswer &Answer, TimePoint Now);
  WriteResult written(uint64_t Version) const;
  std::optional<WriteResult> unknownIfLate(const StoreAnswer &Answer,
                                           TimePoint Now) const;

  enum class Step : uint8_t { Write, Reread };

  StoreCall Write_;
  TimePoint GiveUp_;
  Step Step_ = Step::Write;
};

} // namespace dragonflystall

#endif
