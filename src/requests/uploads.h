// Request bodies that are received in blocks (RFC 7959, Block1).
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_UPLOADS_H
#define DRAGONFLYSTALL_SRC_REQUESTS_UPLOADS_H

#include "dragonflystall/message.h"

#include <map>

namespace dragonflystall {

constexpr size_t MaxUploads = 64;
constexpr size_t MaxUploadBytes = 16 << 20;
/// An upload without a new block for longer than this is dropped.
constexpr Duration UploadLifetime = 10s;

/// The fields that all blocks of one body share.
struct UploadKey {
  FlowKey Flow;
  Code Method = Code::Get;
  std::string Path;
  std::string Query;
  std::string Tag;
  friend auto operator<=>(const UploadKey &, const UploadKey &) = default;
};

UploadKey uploadKey(const FlowKey &Flow, const Message &Part);

enum class UploadStep : uint8_t {
  More,     ///< Accepted; the next block is expected.
  Complete, ///< Accepted; the body is complete.
  Gap,      ///< A block is missing.
  TooLarge, ///< The body exceeds the service's size limit.
  NoRoom,   ///< Too many uploads at once.
};

class Uploads {
public:
  UploadStep add(const UploadKey &Key, const Message &Part, uint64_t MaxBody,
                 TimePoint Now);
  /// The ticket received with the newest block that had one; empty if none.
  std::string echo(const UploadKey &Key) const;
  /// Removes an upload and returns its body.
  std::string take(const UploadKey &Key);
  void drop(const UploadKey &Key);
  void dropFlow(const FlowKey &Flow);
  /// Whether the flow has an upload with a recent block.
  bool isActive(const FlowKey &Flow, TimePoint Now) const;
  void tick(TimePoint Now);
  size_t size() const { return Uploads_.size(); }
  size_t bytes() const { return Bytes_; }

private:
  struct Upload {
    std::string Body;
    std::string Echo;
    size_t LastBlock = 0; ///< The offset of the newest block.
    TimePoint LastAt;
  };
  using Table = std::map<UploadKey, Upload>;
  Table::iterator erase(Table::iterator It);

  Table Uploads_;
  size_t Bytes_ = 0;
};

} // namespace dragonflystall

#endif
