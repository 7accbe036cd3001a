// Parses datagrams with libcoap and writes options with its encoder. Path and
// query keep the URI's percent-encoding, so that a separator character inside a
// segment can be distinguished from a separator between segments.
#include "coap.h"

#include <algorithm>
#include <cctype>
#include <coap3/coap.h>
#include <memory>
#include <vector>

namespace dragonflystall::wire {

namespace {

constexpr uint16_t EchoOption = 252;
constexpr uint16_t RequestTagOption = 292;
constexpr size_t HeaderBytes = 4;
constexpr size_t MaxTokenBytes = 8;
constexpr uint8_t PayloadMarker = 0xff;
constexpr uint8_t CoapVersion = 1;
constexpr uint8_t ReservedBlockSize = 7;
constexpr uint16_t SmallestBlock = 16;
constexpr std::string_view UnencodedInPath = "!$&'()*+,;=:@";
constexpr std::string_view UnencodedInQuery = "!$'()*+,;=:@/?";

struct PduDeleter {
  void operator()(coap_pdu_t *Pdu) const { coap_delete_pdu(Pdu); }
};
using PduPtr = std::unique_ptr<coap_pdu_t, PduDeleter>;

struct OptionView {
  uint16_t Number = 0;
  std::string_view Value;
};

std::string percentEncode(std::string_view Text, std::string_view Unencoded) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Out;
  for (const char C : Text) {
    const auto Byte = static_cast<unsigned char>(C);
    const bool Plain = std::isalnum(Byte) != 0 && Byte < 0x80;
    if (Plain || std::string_view("-._~").find(C) != std::string_view::npos ||
        Unencoded.find(C) != std::string_view::npos) {
      Out += C;
      continue;
    }
    Out += '%';
    Out += Digits[Byte >> 4];
    Out += Digits[Byte & 0xf];
  }
  return Out;
}

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  return -1;
}

std::string percentDecode(std::string_view Text) {
  std::string Out;
  for (size_t I = 0; I < Text.size(); ++I) {
    const bool Escaped = Text[I] == '%' && I + 2 < Text.size() &&
                         hexDigit(Text[I + 1]) >= 0 &&
                         hexDigit(Text[I + 2]) >= 0;
    if (!Escaped) {
      Out += Text[I];
      continue;
    }
    Out +=
        static_cast<char>(hexDigit(Text[I + 1]) * 16 + hexDigit(Text[I + 2]));
    I += 2;
  }
  return Out;
}

uint32_t decodeUnsigned(std::string_view Value) {
  return coap_decode_var_bytes(
      reinterpret_cast<const uint8_t *>(Value.data()),
      static_cast<unsigned>(std::min<size_t>(Value.size(), 4)));
}

tl::expected<Block, CoapError> decodeBlock(std::string_view Value) {
  const uint32_t Bits = decodeUnsigned(Value);
  const uint8_t Exponent = Bits & 7;
  if (Exponent == ReservedBlockSize || Value.size() > 3)
    return tl::unexpected(CoapError::Malformed);
  return Block{Bits >> 4, (Bits & 8) != 0,
               static_cast<uint16_t>(SmallestBlock << Exponent)};
}

tl::expected<void, CoapError> readBlock(std::optional<Block> &Result,
                                        std::string_view Value) {
  auto Parsed = decodeBlock(Value);
  if (!Parsed)
    return tl::unexpected(Parsed.error());
  Result = *Parsed;
  return {};
}

void addQuery(Message &Result, std::string_view Value) {
  if (!Result.Query.empty())
    Result.Query += '&';
  Result.Query += percentEncode(Value, UnencodedInQuery);
}

tl::expected<void, CoapError> readVerdict(Message &Result,
                                          std::string_view Value) {
  const uint32_t Index = decodeUnsigned(Value);
  if (Index >= VerdictNames.size())
    return tl::unexpected(CoapError::Malformed);
  Result.Verdict = static_cast<Verdict>(Index);
  return {};
}

bool isCritical(uint16_t Number) { return (Number & 1) != 0; }

/// Options without effect: the service is identified by its address, and
/// unknown elective options may be ignored.
bool isIgnored(uint16_t Number) {
  return Number == COAP_OPTION_URI_HOST || Number == COAP_OPTION_URI_PORT ||
         !isCritical(Number);
}

tl::expected<void, CoapError> readOption(Message &Result,
                                         const OptionView &Option) {
  const std::string_view Value = Option.Value;
  switch (Option.Number) {
  case COAP_OPTION_ETAG:
    Result.Etag = std::string(Value);
    return {};
  case COAP_OPTION_URI_PATH:
    Result.Path += '/' + percentEncode(Value, UnencodedInPath);
    return {};
  case COAP_OPTION_CONTENT_FORMAT:
    Result.ContentFormat = static_cast<uint16_t>(decodeUnsigned(Value));
    return {};
  case COAP_OPTION_MAXAGE:
    Result.MaxAge = std::chrono::seconds(decodeUnsigned(Value));
    return {};
  case COAP_OPTION_URI_QUERY:
    addQuery(Result, Value);
    return {};
  case COAP_OPTION_BLOCK2:
    return readBlock(Result.Block2, Value);
  case COAP_OPTION_BLOCK1:
    return readBlock(Result.Block1, Value);
  case COAP_OPTION_SIZE2:
    Result.Size2 = decodeUnsigned(Value);
    return {};
  case EchoOption:
    Result.Echo = std::string(Value);
    return {};
  case RequestTagOption:
    Result.RequestTag = std::string(Value);
    return {};
  case TimeoutOption:
    Result.Timeout = std::chrono::milliseconds(decodeUnsigned(Value));
    return {};
  case VerdictOption:
    return readVerdict(Result, Value);
  case CancelOption:
    Result.Cancel = true;
    return {};
  default:
    break;
  }
  if (isIgnored(Option.Number))
    return {};
  return tl::unexpected(CoapError::UnknownCriticalOption);
}

tl::expected<void, CoapError> readOptions(Message &Result,
                                          const coap_pdu_t *Pdu) {
  coap_opt_iterator_t Iterator;
  if (coap_option_iterator_init(Pdu, &Iterator, COAP_OPT_ALL) == nullptr)
    return {};
  while (const coap_opt_t *Option = coap_option_next(&Iterator)) {
    const OptionView View{
        Iterator.number,
        std::string_view(reinterpret_cast<const char *>(coap_opt_value(Option)),
                         coap_opt_length(Option))};
    if (auto Read = readOption(Result, View); !Read)
      return Read;
  }
  return {};
}

/// Encodes options, which must be added in ascending order of their numbers
/// because each number is written as the difference from the previous one.
class OptionWriter {
public:
  void add(uint16_t Number, std::string_view Value) {
    const auto *Bytes = reinterpret_cast<const uint8_t *>(Value.data());
    const size_t Size = coap_opt_encode_size(Number - Last_, Value.size());
    const size_t Offset = Out_.size();
    Out_.resize(Offset + Size);
    coap_opt_encode(reinterpret_cast<coap_opt_t *>(Out_.data() + Offset), Size,
                    Number - Last_, Bytes, Value.size());
    Last_ = Number;
  }

  void addNumber(uint16_t Number, uint32_t Value) {
    uint8_t Bytes[sizeof(Value)];
    const unsigned Size = coap_encode_var_safe(Bytes, sizeof(Bytes), Value);
    add(Number, std::string_view(reinterpret_cast<const char *>(Bytes), Size));
  }

  void addBlock(uint16_t Number, const Block &Value) {
    uint32_t Exponent = 0;
    while ((SmallestBlock << Exponent) < Value.Size)
      ++Exponent;
    addNumber(Number, (Value.Number << 4) | (Value.More ? 8U : 0U) | Exponent);
  }

  /// One option for each segment between slashes, including empty segments.
  void addPath(std::string_view Text) {
    while (!Text.empty()) {
      const size_t End = Text.find('/');
      add(COAP_OPTION_URI_PATH, percentDecode(Text.substr(0, End)));
      if (End == std::string_view::npos)
        return;
      Text.remove_prefix(End + 1);
      // A trailing slash is followed by one more, empty segment.
      if (Text.empty())
        add(COAP_OPTION_URI_PATH, {});
    }
  }

  /// One option for each parameter. Empty parameters are skipped, because
  /// libcoap rejects them.
  void addQuery(std::string_view Text) {
    while (!Text.empty()) {
      const size_t End = std::min(Text.find('&'), Text.size());
      if (End > 0)
        add(COAP_OPTION_URI_QUERY, percentDecode(Text.substr(0, End)));
      Text.remove_prefix(std::min(End + 1, Text.size()));
    }
  }

  const std::string &bytes() const { return Out_; }

private:
  std::string Out_;
  /// Number of the last option added. Invariant: later options have no lower
  /// number.
  uint16_t Last_ = 0;
};

template <typename Unit> uint32_t countOf(Duration Value) {
  const auto Count = std::chrono::ceil<Unit>(Value).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(Count, 0, UINT32_MAX));
}

void writeElective(OptionWriter &Options, const Message &Value) {
  if (Value.Size2)
    Options.addNumber(COAP_OPTION_SIZE2, *Value.Size2);
  if (Value.Echo)
    Options.add(EchoOption, *Value.Echo);
  if (Value.RequestTag)
    Options.add(RequestTagOption, *Value.RequestTag);
  if (Value.Timeout)
    Options.addNumber(TimeoutOption,
                      countOf<std::chrono::milliseconds>(*Value.Timeout));
  if (Value.Cancel)
    Options.add(CancelOption, {});
  if (Value.Verdict)
    Options.addNumber(VerdictOption, static_cast<uint32_t>(*Value.Verdict));
}

std::string optionsOf(const Message &Value) {
  OptionWriter Options;
  if (Value.Etag)
    Options.add(COAP_OPTION_ETAG, *Value.Etag);
  std::string_view Path = Value.Path;
  if (Path.starts_with('/'))
    Path.remove_prefix(1);
  Options.addPath(Path);
  if (Value.ContentFormat)
    Options.addNumber(COAP_OPTION_CONTENT_FORMAT, *Value.ContentFormat);
  if (Value.MaxAge)
    Options.addNumber(COAP_OPTION_MAXAGE,
                      countOf<std::chrono::seconds>(*Value.MaxAge));
  Options.addQuery(Value.Query);
  if (Value.Block2)
    Options.addBlock(COAP_OPTION_BLOCK2, *Value.Block2);
  if (Value.Block1)
    Options.addBlock(COAP_OPTION_BLOCK1, *Value.Block1);
  writeElective(Options, Value);
  return Options.bytes();
}

PduPtr parse(std::string_view Datagram) {
  // By default, libcoap logs each malformed datagram to standard error.
  [[maybe_unused]] static const bool LogLevelSet = [] {
    coap_set_log_level(LOG_EMERG);
    return true;
  }();
  PduPtr Pdu(coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0,
                           std::max(Datagram.size(), HeaderBytes)));
  const auto *Bytes = reinterpret_cast<const uint8_t *>(Datagram.data());
  if (!Pdu ||
      coap_pdu_parse(COAP_PROTO_UDP, Bytes, Datagram.size(), Pdu.get()) == 0)
    return nullptr;
  return Pdu;
}

/// Returns whether the header is that of an empty acknowledgement or reset.
/// libcoap's client appends options to some of them, in violation of RFC 7252,
/// section 4.1. The options are ignored; if such a message were rejected, the
/// answer would be retransmitted to the client again and again.
bool isEmptyReply(std::string_view Datagram) {
  const auto First = static_cast<uint8_t>(Datagram[0]);
  const auto Type = static_cast<MessageType>((First >> 4) & 3);
  const bool NoToken = (First & 0xcf) == CoapVersion << 6;
  return NoToken && Datagram[1] == 0 &&
         (Type == MessageType::Acknowledgement || Type == MessageType::Reset);
}

} // namespace

tl::expected<Message, CoapError> decodeCoap(std::string_view Datagram) {
  if (Datagram.size() > MaxCoapBytes)
    return tl::unexpected(CoapError::TooLarge);
  if (Datagram.size() < HeaderBytes)
    return tl::unexpected(CoapError::Malformed);
  if (isEmptyReply(Datagram))
    Datagram = Datagram.substr(0, HeaderBytes);
  const PduPtr Pdu = parse(Datagram);
  if (!Pdu)
    return tl::unexpected(CoapError::Malformed);
  Message Result;
  Result.Type = static_cast<MessageType>(coap_pdu_get_type(Pdu.get()));
  Result.Kind = static_cast<Code>(coap_pdu_get_code(Pdu.get()));
  Result.MessageId = static_cast<uint16_t>(coap_pdu_get_mid(Pdu.get()));
  const coap_bin_const_t Token = coap_pdu_get_token(Pdu.get());
  Result.Token.assign(reinterpret_cast<const char *>(Token.s), Token.length);
  if (auto Read = readOptions(Result, Pdu.get()); !Read)
    return tl::unexpected(Read.error());
  // A path of a single empty segment is equivalent to an empty path (RFC 7252,
  // section 6.4).
  if (Result.Path == "/")
    Result.Path.clear();
  size_t Size = 0;
  const uint8_t *Data = nullptr;
  if (coap_get_data(Pdu.get(), &Size, &Data) != 0)
    Result.Payload.assign(reinterpret_cast<const char *>(Data), Size);
  return Result;
}

std::string encodeCoap(const Message &Value) {
  const size_t TokenBytes = std::min(Value.Token.size(), MaxTokenBytes);
  std::string Out;
  Out +=
      static_cast<char>((CoapVersion << 6) |
                        (static_cast<uint8_t>(Value.Type) << 4) | TokenBytes);
  Out += static_cast<char>(Value.Kind);
  Out += static_cast<char>(Value.MessageId >> 8);
  Out += static_cast<char>(Value.MessageId & 0xff);
  Out.append(Value.Token, 0, TokenBytes);
  Out += optionsOf(Value);
  if (Value.Payload.empty())
    return Out;
  Out += static_cast<char>(PayloadMarker);
  return Out += Value.Payload;
}

} // namespace dragonflystall::wire
