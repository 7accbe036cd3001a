// Blocks are accepted in order only; a repeated block is acknowledged again.
#include "uploads.h"

namespace dragonflystall {

namespace {

/// A caller that sent no block for longer than this is not counted as busy.
constexpr Duration ActiveFor = 3s;

} // namespace

UploadKey uploadKey(const FlowKey &Flow, const Message &Part) {
  return {Flow, Part.Kind, Part.Path, Part.Query, Part.RequestTag.value_or("")};
}

Uploads::Table::iterator Uploads::erase(Table::iterator At) {
  Bytes_ -= At->second.Body.size();
  return Open_.erase(At);
}

UploadStep Uploads::add(const UploadKey &Key, const Message &Part,
                        uint64_t MaxBody, TimePoint Now) {
  const Block &Which = *Part.Block1;
  const size_t Begin = size_t{Which.Number} * Which.Size;
  if (Which.Number == 0)
    drop(Key);
  auto At = Open_.find(Key);
  if (At == Open_.end()) {
    if (Begin != 0)
      return UploadStep::Gap;
    if (Open_.size() >= MaxUploads)
      return UploadStep::NoRoom;
    At = Open_.emplace(Key, Upload()).first;
  }
  Upload &Of = At->second;
  Of.LastAt = Now;
  if (Part.Echo)
    Of.Echo = *Part.Echo;
  const bool Repeated = Begin == Of.LastBlock && !Of.Body.empty();
  if (Repeated && Begin + Part.Payload.size() == Of.Body.size())
    return Which.More ? UploadStep::More : UploadStep::Complete;
  const bool Whole = !Which.More || Part.Payload.size() == Which.Size;
  if (Begin != Of.Body.size() || !Whole)
    return UploadStep::Gap;
  if (Begin + Part.Payload.size() > MaxBody)
    return UploadStep::TooLarge;
  if (Bytes_ + Part.Payload.size() > MaxUploadBytes)
    return UploadStep::NoRoom;
  Of.Body += Part.Payload;
  Of.LastBlock = Begin;
  Bytes_ += Part.Payload.size();
  return Which.More ? UploadStep::More : UploadStep::Complete;
}

std::string Uploads::echo(const UploadKey &Key) const {
  const auto At = Open_.find(Key);
  return At == Open_.end() ? "" : At->second.Echo;
}

std::string Uploads::take(const UploadKey &Key) {
  const auto At = Open_.find(Key);
  if (At == Open_.end())
    return "";
  Bytes_ -= At->second.Body.size();
  std::string Body = std::move(At->second.Body);
  Open_.erase(At);
  return Body;
}

void Uploads::drop(const UploadKey &Key) {
  const auto At = Open_.find(Key);
  if (At != Open_.end())
    erase(At);
}

void Uploads::dropFlow(const FlowKey &Flow) {
  auto At = Open_.lower_bound({Flow, Code::Empty, "", "", ""});
  while (At != Open_.end() && At->first.Flow == Flow)
    At = erase(At);
}

bool Uploads::active(const FlowKey &Flow, TimePoint Now) const {
  auto At = Open_.lower_bound({Flow, Code::Empty, "", "", ""});
  for (; At != Open_.end() && At->first.Flow == Flow; ++At)
    if (Now - At->second.LastAt < ActiveFor)
      return true;
  return false;
}

void Uploads::tick(TimePoint Now) {
  for (auto At = Open_.begin(); At != Open_.end();)
    At = Now - At->second.LastAt >= UploadLifetime ? erase(At) : std::next(At);
}

} // namespace dragonflystall
