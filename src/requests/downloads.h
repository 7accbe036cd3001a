// Answers that are larger than one block (RFC 7959, Block2): held whole, so
// that later blocks come from the one execution.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_DOWNLOADS_H
#define DRAGONFLYSTALL_SRC_REQUESTS_DOWNLOADS_H

#include "answer.h"

#include <map>

namespace dragonflystall {

constexpr uint16_t MaxBlockBytes = 1024;
constexpr size_t MaxDownloadBytes = 16 << 20;
constexpr Duration DownloadLifetime = 30s;

/// What the requests for the blocks of one answer have in common.
struct DownloadKey {
  FlowKey Flow;
  Code Method = Code::Get;
  std::string Path;
  std::string Query;
  friend auto operator<=>(const DownloadKey &, const DownloadKey &) = default;
};

class Downloads {
public:
  /// Replaces an earlier answer to the same; the oldest ones make room.
  void hold(const DownloadKey &Key, const Answer &Whole, TimePoint Now);
  /// nullptr when it is not held. Valid until the next call.
  const Answer *find(const DownloadKey &Key) const;
  /// Fills in one block of the answer; false when it has no such block.
  bool cut(const DownloadKey &Key, const Block &Wanted, TimePoint Now,
           Message &Into);
  void dropFlow(const FlowKey &Flow);
  /// The flow's caller is in the middle of fetching.
  bool active(const FlowKey &Flow, TimePoint Now) const;
  void tick(TimePoint Now);
  size_t bytes() const { return Bytes_; }

private:
  struct Held {
    Answer Whole;
    std::string Etag;
    TimePoint LastAt;
    bool LastBlockGiven = false;
  };
  using Table = std::map<DownloadKey, Held>;
  Table::iterator erase(Table::iterator At);
  void makeRoom(size_t Bytes);

  Table Held_;
  size_t Bytes_ = 0;
};

} // namespace dragonflystall

#endif
