// Blocks are accepted in order only; a repeated block is acknowledged again.
#include "uploads.h"

namespace dragonflystall {

namespace {

/// A caller that sent no block for longer than this is not counted as busy.
constexpr Duration ActivePeriod = 3s;

} // namespace

UploadKey uploadKey(const FlowKey &Flow, const Message &Part) {
  return {Flow, Part.Kind, Part.Path, Part.Query, Part.RequestTag.value_or("")};
}

Uploads::Table::iterator Uploads::erase(Table::iterator It) {
  Bytes_ -= It->second.Body.size();
  return Uploads_.erase(It);
}

UploadStep Uploads::add(const UploadKey &Key, const Message &Part,
                        uint64_t MaxBody, TimePoint Now) {
  const Block &CurrentBlock = *Part.Block1;
  const size_t Begin = size_t{CurrentBlock.Number} * CurrentBlock.Size;
  if (CurrentBlock.Number == 0)
    drop(Key);
  auto It = Uploads_.find(Key);
  if (It == Uploads_.end()) {
    if (Begin != 0)
      return UploadStep::Gap;
    if (Uploads_.size() >= MaxUploads)
      return UploadStep::NoRoom;
    It = Uploads_.emplace(Key, Upload()).first;
  }
  Upload &Target = It->second;
  Target.LastAt = Now;
  if (Part.Echo)
    Target.Echo = *Part.Echo;
  const bool IsRepeated = Begin == Target.LastBlock && !Target.Body.empty();
  if (IsRepeated && Begin + Part.Payload.size() == Target.Body.size())
    return CurrentBlock.More ? UploadStep::More : UploadStep::Complete;
  const bool IsFullBlock =
      !CurrentBlock.More || Part.Payload.size() == CurrentBlock.Size;
  if (Begin != Target.Body.size() || !IsFullBlock)
    return UploadStep::Gap;
  if (Begin + Part.Payload.size() > MaxBody)
    return UploadStep::TooLarge;
  if (Bytes_ + Part.Payload.size() > MaxUploadBytes)
    return UploadStep::NoRoom;
  Target.Body += Part.Payload;
  Target.LastBlock = Begin;
  Bytes_ += Part.Payload.size();
  return CurrentBlock.More ? UploadStep::More : UploadStep::Complete;
}

std::string Uploads::echo(const UploadKey &Key) const {
  const auto It = Uploads_.find(Key);
  return It == Uploads_.end() ? "" : It->second.Echo;
}

std::string Uploads::take(const UploadKey &Key) {
  const auto It = Uploads_.find(Key);
  if (It == Uploads_.end())
    return "";
  Bytes_ -= It->second.Body.size();
  std::string Body = std::move(It->second.Body);
  Uploads_.erase(It);
  return Body;
}

void Uploads::drop(const UploadKey &Key) {
  const auto It = Uploads_.find(Key);
  if (It != Uploads_.end())
    erase(It);
}

void Uploads::dropFlow(const FlowKey &Flow) {
  auto It = Uploads_.lower_bound({Flow, Code::Empty, "", "", ""});
  while (It != Uploads_.end() && It->first.Flow == Flow)
    It = erase(It);
}

bool Uploads::isActive(const FlowKey &Flow, TimePoint Now) const {
  auto It = Uploads_.lower_bound({Flow, Code::Empty, "", "", ""});
  for (; It != Uploads_.end() && It->first.Flow == Flow; ++It)
    if (Now - It->second.LastAt < ActivePeriod)
      return true;
  return false;
}

void Uploads::tick(TimePoint Now) {
  for (auto It = Uploads_.begin(); It != Uploads_.end();)
    It = Now - It->second.LastAt >= UploadLifetime ? erase(It) : std::next(It);
}

} // namespace dragonflystall
