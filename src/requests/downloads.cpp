// The ETag is a hash of the body, so that a caller never combines blocks of
// different answers.
#include "downloads.h"

#include <algorithm>
#include <xxhash.h>

namespace dragonflystall {

namespace {

/// A caller that fetched no block for longer than this is not counted as busy.
constexpr Duration ActiveFor = 3s;

std::string etagOf(const std::string &Body) {
  const XXH64_hash_t Hash = XXH3_64bits(Body.data(), Body.size());
  XXH64_canonical_t Bytes;
  XXH64_canonicalFromHash(&Bytes, Hash);
  return {reinterpret_cast<const char *>(Bytes.digest), sizeof(Bytes.digest)};
}

} // namespace

Downloads::Table::iterator Downloads::erase(Table::iterator At) {
  Bytes_ -= At->second.Whole.bytes();
  return Held_.erase(At);
}

void Downloads::makeRoom(size_t Bytes) {
  const auto Older = [](const auto &A, const auto &B) {
    return A.second.LastAt < B.second.LastAt;
  };
  while (!Held_.empty() && Bytes_ + Bytes > MaxDownloadBytes)
    erase(std::min_element(Held_.begin(), Held_.end(), Older));
}

void Downloads::hold(const DownloadKey &Key, const Answer &Whole,
                     TimePoint Now) {
  if (const auto At = Held_.find(Key); At != Held_.end())
    erase(At);
  makeRoom(Whole.bytes());
  Bytes_ += Whole.bytes();
  Held_[Key] = {Whole, etagOf(*Whole.Body), Now, false};
}

const Answer *Downloads::find(const DownloadKey &Key) const {
  const auto At = Held_.find(Key);
  return At == Held_.end() ? nullptr : &At->second.Whole;
}

bool Downloads::cut(const DownloadKey &Key, const Block &Wanted, TimePoint Now,
                    Message &Into) {
  const auto At = Held_.find(Key);
  if (At == Held_.end())
    return false;
  Held &Of = At->second;
  const std::string &Body = *Of.Whole.Body;
  const uint16_t Size = std::min(Wanted.Size, MaxBlockBytes);
  const size_t Begin = size_t{Wanted.Number} * Wanted.Size;
  if (Begin >= Body.size())
    return false;
  describe(Of.Whole, Into);
  Into.Etag = Of.Etag;
  Into.Payload = Body.substr(Begin, Size);
  const bool More = Begin + Size < Body.size();
  Into.Block2 = Block{Wanted.Number, More, Size};
  if (Wanted.Number == 0)
    Into.Size2 = static_cast<uint32_t>(Body.size());
  Of.LastAt = Now;
  Of.LastBlockGiven = Of.LastBlockGiven || !More;
  return true;
}

void Downloads::dropFlow(const FlowKey &Flow) {
  auto At = Held_.lower_bound({Flow, Code::Empty, "", ""});
  while (At != Held_.end() && At->first.Flow == Flow)
    At = erase(At);
}

bool Downloads::active(const FlowKey &Flow, TimePoint Now) const {
  auto At = Held_.lower_bound({Flow, Code::Empty, "", ""});
  for (; At != Held_.end() && At->first.Flow == Flow; ++At)
    if (!At->second.LastBlockGiven && Now - At->second.LastAt < ActiveFor)
      return true;
  return false;
}

void Downloads::tick(TimePoint Now) {
  for (auto At = Held_.begin(); At != Held_.end();)
    At =
        Now - At->second.LastAt >= DownloadLifetime ? erase(At) : std::next(At);
}

} // namespace dragonflystall
