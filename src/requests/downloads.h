// Answers larger than one block (RFC 7959, Block2). They are stored complete,
// so that all blocks come from the same execution.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_DOWNLOADS_H
#define DRAGONFLYSTALL_SRC_REQUESTS_DOWNLOADS_H

#include "answer.h"

#include <map>

namespace dragonflystall {

constexpr uint16_t MaxBlockBytes = 1024;
constexpr size_t MaxDownloadBytes = 16 << 20;
constexpr Duration DownloadLifetime = 30s;

/// The fields that the requests for all blocks of one answer share.
struct DownloadKey {
  FlowKey Flow;
  Code Method = Code::Get;
  std::string Path;
  std::string Query;
  friend auto operator<=>(const DownloadKey &, const DownloadKey &) = default;
};

class Downloads {
public:
  /// Stores an answer in place of an earlier one with the same key. Evicts the
  /// least recently used answers if space is needed.
  void store(const DownloadKey &Key, const Answer &FullAnswer, TimePoint Now);
  /// nullptr if there is no such answer. Valid until the next call.
  const Answer *find(const DownloadKey &Key) const;
  /// Copies one block of the answer to the message; false if there is no such
  /// answer or block.
  bool copyBlock(const DownloadKey &Key, const Block &Wanted, TimePoint Now,
                 Message &Into);
  void dropFlow(const FlowKey &Flow);
  /// Whether the flow's caller is fetching the blocks of an answer.
  bool isActive(const FlowKey &Flow, TimePoint Now) const;
  void tick(TimePoint Now);
  size_t bytes() const { return Bytes_; }

private:
  struct StoredAnswer {
    Answer FullAnswer;
    std::string Etag;
    TimePoint LastAt;
    bool LastBlockSent = false;
  };
  using Table = std::map<DownloadKey, StoredAnswer>;
  Table::iterator erase(Table::iterator It);
  void makeRoom(size_t Bytes);

  Table Answers_;
  size_t Bytes_ = 0;
};

} // namespace dragonflystall

#endif
