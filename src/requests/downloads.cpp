// The ETag is a hash of the body, so that a caller never combines blocks of
// different answers.
#include "downloads.h"

#include <algorithm>
#include <xxhash.h>

namespace dragonflystall {

namespace {

/// A caller that fetched no block for longer than this is not counted as busy.
constexpr Duration ActivePeriod = 3s;

std::string etagOf(const std::string &Body) {
  const XXH64_hash_t Hash = XXH3_64bits(Body.data(), Body.size());
  XXH64_canonical_t Bytes;
  XXH64_canonicalFromHash(&Bytes, Hash);
  return {reinterpret_cast<const char *>(Bytes.digest), sizeof(Bytes.digest)};
}

} // namespace

Downloads::Table::iterator Downloads::erase(Table::iterator It) {
  Bytes_ -= It->second.FullAnswer.bytes();
  return Answers_.erase(It);
}

void Downloads::makeRoom(size_t Bytes) {
  const auto Older = [](const auto &A, const auto &B) {
    return A.second.LastAt < B.second.LastAt;
  };
  while (!Answers_.empty() && Bytes_ + Bytes > MaxDownloadBytes)
    erase(std::min_element(Answers_.begin(), Answers_.end(), Older));
}

void Downloads::store(const DownloadKey &Key, const Answer &FullAnswer,
                      TimePoint Now) {
  if (const auto It = Answers_.find(Key); It != Answers_.end())
    erase(It);
  makeRoom(FullAnswer.bytes());
  Bytes_ += FullAnswer.bytes();
  Answers_[Key] = {FullAnswer, etagOf(*FullAnswer.Body), Now, false};
}

const Answer *Downloads::find(const DownloadKey &Key) const {
  const auto It = Answers_.find(Key);
  return It == Answers_.end() ? nullptr : &It->second.FullAnswer;
}

bool Downloads::copyBlock(const DownloadKey &Key, const Block &Wanted,
                          TimePoint Now, Message &Into) {
  const auto It = Answers_.find(Key);
  if (It == Answers_.end())
    return false;
  StoredAnswer &Stored = It->second;
  const std::string &Body = *Stored.FullAnswer.Body;
  const uint16_t Size = std::min(Wanted.Size, MaxBlockBytes);
  const size_t Begin = size_t{Wanted.Number} * Wanted.Size;
  if (Begin >= Body.size())
    return false;
  fillMessage(Stored.FullAnswer, Into);
  Into.Etag = Stored.Etag;
  Into.Payload = Body.substr(Begin, Size);
  const bool More = Begin + Size < Body.size();
  Into.Block2 = Block{Wanted.Number, More, Size};
  if (Wanted.Number == 0)
    Into.Size2 = static_cast<uint32_t>(Body.size());
  Stored.LastAt = Now;
  Stored.LastBlockSent = Stored.LastBlockSent || !More;
  return true;
}

void Downloads::dropFlow(const FlowKey &Flow) {
  auto It = Answers_.lower_bound({Flow, Code::Empty, "", ""});
  while (It != Answers_.end() && It->first.Flow == Flow)
    It = erase(It);
}

bool Downloads::isActive(const FlowKey &Flow, TimePoint Now) const {
  auto It = Answers_.lower_bound({Flow, Code::Empty, "", ""});
  for (; It != Answers_.end() && It->first.Flow == Flow; ++It)
    if (!It->second.LastBlockSent && Now - It->second.LastAt < ActivePeriod)
      return true;
  return false;
}

void Downloads::tick(TimePoint Now) {
  for (auto It = Answers_.begin(); It != Answers_.end();)
    It =
        Now - It->second.LastAt >= DownloadLifetime ? erase(It) : std::next(It);
}

} // namespace dragonflystall
