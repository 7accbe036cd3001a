// Request bodies that come in blocks (RFC 7959, Block1).
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_UPLOADS_H
#define DRAGONFLYSTALL_SRC_REQUESTS_UPLOADS_H

#include "dragonflystall/message.h"

#include <map>

namespace dragonflystall {

constexpr size_t MaxUploads = 64;
constexpr size_t MaxUploadBytes = 16 << 20;
/// An upload that rests for longer is forgotten.
constexpr Duration UploadLifetime = 10s;

/// What the blocks of one body have in common.
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
  More,     ///< Taken; the next block is expected.
  Complete, ///< Taken; the body is whole.
  Gap,      ///< A block is missing.
  TooLarge, ///< Above the service's bound.
  NoRoom,   ///< Too many uploads at once.
};

class Uploads {
public:
  UploadStep add(const UploadKey &Key, const Message &Part, uint64_t MaxBody,
                 TimePoint Now);
  /// The ticket that came with an earlier block.
  std::string echo(const UploadKey &Key) const;
  /// Takes out a body that is complete.
  std::string take(const UploadKey &Key);
  void drop(const UploadKey &Key);
  void dropFlow(const FlowKey &Flow);
  /// Blocks of the flow came recently.
  bool active(const FlowKey &Flow, TimePoint Now) const;
  void tick(TimePoint Now);
  size_t size() const { return Open_.size(); }
  size_t bytes() const { return Bytes_; }

private:
  struct Upload {
    std::string Body;
    std::string Echo;
    size_t LastBlock = 0; ///< Where the newest block begins.
    TimePoint LastAt;
  };
  using Table = std::map<UploadKey, Upload>;
  Table::iterator erase(Table::iterator At);

  Table Open_;
  size_t Bytes_ = 0;
};

} // namespace dragonflystall

#endif
