// A conditional write of one object, from the first attempt to the result.
// After a lost answer the object is read first, and its writer mark is compared
// with that of the write, before the write is repeated. No I/O.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_OBJECTWRITE_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_OBJECTWRITE_H

#include "objectstore/store.h"

#include <optional>

namespace dragonflystall {

enum class WriteOutcome : uint8_t {
  Written,  ///< The write took effect.
  Conflict, ///< A version other than the expected one is stored.
  Refused,  ///< The platform rejected the value, or the team may not write it.
  Unknown,  ///< No clear answer in time: the write may have taken effect or may
            ///< still do so.
};

constexpr std::array<std::string_view, 4> WriteOutcomeNames = {
    "written", "conflict", "refused", "unknown"};
constexpr std::string_view name(WriteOutcome O) {
  return WriteOutcomeNames[static_cast<size_t>(O)];
}

struct WriteResult {
  WriteOutcome Outcome = WriteOutcome::Unknown;
  /// The object stored now, if known. Version 0 means that none exists.
  std::optional<StoredObject> Stored = {};
  std::string Detail = {};
};

class ObjectWrite {
public:
  /// Write is a Put or a Delete. All attempts have the same writer mark and
  /// expect the same version, so at most one of them takes effect. If the
  /// outcome is still unclear after Deadline, the result is Unknown.
  ObjectWrite(StoreCall Write, TimePoint Deadline)
      : Write_(std::move(Write)), Deadline_(Deadline) {}

  /// The next call to make.
  StoreCall nextCall() const;
  /// Processes the answer to nextCall(). A result ends the write. Without one,
  /// the caller makes nextCall(), after a pause if the answer was a failure.
  std::optional<WriteResult> onAnswer(const StoreAnswer &Answer, TimePoint Now);
  const StoreCall &write() const { return Write_; }

private:
  std::optional<WriteResult> onWrite(const StoreAnswer &Answer, TimePoint Now);
  std::optional<WriteResult> onReread(const StoreAnswer &Answer, TimePoint Now);
  WriteResult written(uint64_t Version) const;
  std::optional<WriteResult> unknownIfExpired(const StoreAnswer &Answer,
                                              TimePoint Now) const;

  enum class Step : uint8_t { Write, Reread };

  StoreCall Write_;
  TimePoint Deadline_;
  Step Step_ = Step::Write;
};

} // namespace dragonflystall

#endif
