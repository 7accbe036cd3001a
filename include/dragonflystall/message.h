// A caller's request or the answer to it, decoded from CoAP. The CoAP edge
// (src/wire) converts datagrams to and from this type, which the cores use.
#ifndef DRAGONFLYSTALL_MESSAGE_H
#define DRAGONFLYSTALL_MESSAGE_H

#include "dragonflystall/types.h"

#include <optional>
#include <string>

namespace dragonflystall {

/// Message types of RFC 7252, section 4.
enum class MessageType : uint8_t {
  Confirmable = 0,
  NonConfirmable = 1,
  Acknowledgement = 2,
  Reset = 3,
};

/// A CoAP code, class * 32 + detail.
enum class Code : uint8_t {
  Empty = 0,
  Get = 1,
  Post = 2,
  Put = 3,
  Delete = 4,
  Created = 65,
  Deleted = 66,
  Valid = 67,
  Changed = 68,
  Content = 69,
  Continue = 95,
  BadRequest = 128,
  Unauthorized = 129,
  BadOption = 130,
  NotFound = 132,
  RequestEntityIncomplete = 136,
  TooManyRequests = 157,
  RequestEntityTooLarge = 141,
  InternalServerError = 160,
  BadGateway = 162,
  ServiceUnavailable = 163,
  GatewayTimeout = 164,
};

constexpr bool isRequest(Code Value) {
  return Value >= Code::Get && static_cast<uint8_t>(Value) < 32;
}

/// A token of RFC 7252, 0 to 8 bytes long.
using Token = std::string;

/// A block option of RFC 7959. Size is in bytes, a power of two from 16 to
/// 1024.
struct Block {
  uint32_t Number = 0;
  bool More = false;
  uint16_t Size = 1024;
  friend bool operator==(const Block &, const Block &) = default;
};

struct Message {
  MessageType Type = MessageType::Confirmable;
  Code Kind = Code::Empty;
  uint16_t MessageId = 0;
  dragonflystall::Token Token;
  std::string Path;                ///< "/tags/17", from the Uri-Path options.
  std::string Query;               ///< "a=1&b=2", from the Uri-Query options.
  std::optional<std::string> Echo; ///< RFC 9175; the one-time ticket.
  /// RFC 9175; distinguishes concurrent Block1 transfers to one path.
  std::optional<std::string> RequestTag;
  std::optional<Block> Block1; ///< Of the request's body.
  std::optional<Block> Block2; ///< Of the answer's body.
  std::optional<std::string> Etag;
  std::optional<uint16_t> ContentFormat;
  std::optional<uint32_t> Size2;   ///< Bytes of the complete answer.
  std::optional<Duration> MaxAge;  ///< Retry-after of a refusal; unit 1 s.
  std::optional<Duration> Timeout; ///< Request: time left; unit 1 ms.
  std::optional<dragonflystall::Verdict> Verdict; ///< Answers only.
  /// Request: cancel the request in progress that has the same token.
  bool Cancel = false;
  std::string Payload;
  friend bool operator==(const Message &, const Message &) = default;
};

} // namespace dragonflystall

#endif
