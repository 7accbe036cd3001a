// Conditional write that reads the object after an unclear answer.
#include "objectstore/objectwrite.h"

namespace dragonflystall {

StoreCall ObjectWrite::nextCall() const {
  if (Step_ == Step::Reread)
    return {.Kind = StoreCallKind::Get, .Key = Write_.Key};
  return Write_;
}

std::optional<WriteResult> ObjectWrite::onAnswer(const StoreAnswer &Answer,
                                                 TimePoint Now) {
  return Step_ == Step::Write ? onWrite(Answer, Now) : onReread(Answer, Now);
}

std::optional<WriteResult> ObjectWrite::onWrite(const StoreAnswer &Answer,
                                                TimePoint Now) {
  switch (Answer.Status) {
  case StoreStatus::Done:
    if (Answer.Revision > Write_.Version)
      return written(Answer.Revision);
    // The answer to an earlier write: this one may have taken effect or not.
    Step_ = Step::Reread;
    return std::nullopt;
  case StoreStatus::Busy:
  case StoreStatus::NotSent:
    return unknownIfExpired(Answer, Now); // Not executed: write again.
  case StoreStatus::Forbidden:
  case StoreStatus::Invalid:
    return WriteResult{.Outcome = WriteOutcome::Refused,
                       .Detail = Answer.Detail};
  case StoreStatus::Absent:
  case StoreStatus::Conflict:
  case StoreStatus::Lost:
    // The conflicting version may come from an earlier attempt of this write.
    Step_ = Step::Reread;
    return std::nullopt;
  }
  return std::nullopt;
}

std::optional<WriteResult> ObjectWrite::onReread(const StoreAnswer &Answer,
                                                 TimePoint Now) {
  if (Answer.Status != StoreStatus::Done &&
      Answer.Status != StoreStatus::Absent)
    return unknownIfExpired(Answer, Now);
  StoredObject Stored;
  if (!Answer.Objects.empty())
    Stored = Answer.Objects.front();
  if (Stored.Version != 0 && Stored.Writer == Write_.Writer)
    return written(Stored.Version);
  if (Stored.Deleted)
    Stored = StoredObject();
  Stored.Key = Write_.Key;
  if (Stored.Version != Write_.Version)
    return WriteResult{.Outcome = WriteOutcome::Conflict,
                       .Stored = std::move(Stored)};
  if (Now >= Deadline_)
    return WriteResult{.Outcome = WriteOutcome::Unknown,
                       .Stored = std::move(Stored)};
  // The write has not taken effect yet. If the earlier attempt still arrives,
  // the expected version lets only one of the two take effect; the writer mark
  // in the stored object then identifies it as this write.
  Step_ = Step::Write;
  return std::nullopt;
}

WriteResult ObjectWrite::written(uint64_t Version) const {
  const bool Deleted = Write_.Kind == StoreCallKind::Delete;
  return {.Outcome = WriteOutcome::Written,
          .Stored = StoredObject{Write_.Key, Version, Write_.Value, Deleted,
                                 Write_.Writer}};
}

std::optional<WriteResult>
ObjectWrite::unknownIfExpired(const StoreAnswer &Answer, TimePoint Now) const {
  if (Now < Deadline_)
    return std::nullopt;
  return WriteResult{.Outcome = WriteOutcome::Unknown, .Detail = Answer.Detail};
}

} // namespace dragonflystall
