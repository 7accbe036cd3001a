// Parses datagrams with libcoap and lays options out with its encoder. Path
// and query keep the URI's percent-encoding, so that a separator inside a
// segment stays apart from one between segments.
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
constexpr std::string_view PathExtras = "!$&'()*+,;=:@";
constexpr std::string_view QueryExtras = "!$'()*+,;=:@/?";

struct PduDeleter {
  void operator()(coap_pdu_t *Pdu) const { coap_delete_pdu(Pdu); }
};
using PduPtr = std::unique_ptr<coap_pdu_t, PduDeleter>;

struct OptionView {
  uint16_t Number = 0;
  std::string_view Value;
};

std::string escape(std::string_view Text, std::string_view Extras) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Out;
  for (const char C : Text) {
    const auto Byte = static_cast<unsigned char>(C);
    const bool Plain = std::isalnum(Byte) != 0 && Byte < 0x80;
    if (Plain || std::string_view("-._~").find(C) != std::string_view::npos ||
        Extras.find(C) != std::string_view::npos) {
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

std::string unescape(std::string_view Text) {
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

uint32_t number(std::string_view Value) {
  return coap_decode_var_bytes(
      reinterpret_cast<const uint8_t *>(Value.data()),
      static_cast<unsigned>(std::min<size_t>(Value.size(), 4)));
}

tl::expected<Block, CoapError> blockOf(std::string_view Value) {
  const uint32_t Bits = number(Value);
  const uint8_t Exponent = Bits & 7;
  if (Exponent == ReservedBlockSize || Value.size() > 3)
    return tl::unexpected(CoapError::Malformed);
  return Block{Bits >> 4, (Bits & 8) != 0,
               static_cast<uint16_t>(SmallestBlock << Exponent)};
}

tl::expected<void, CoapError> readBlock(std::optional<Block> &Into,
                                        std::string_view Value) {
  auto Parsed = blockOf(Value);
  if (!Parsed)
    return tl::unexpected(Parsed.error());
  Into = *Parsed;
  return {};
}

void addQuery(Message &Into, std::string_view Value) {
  if (!Into.Query.empty())
    Into.Query += '&';
  Into.Query += escape(Value, QueryExtras);
}

tl::expected<void, CoapError> readVerdict(Message &Into,
                                          std::string_view Value) {
  const uint32_t Index = number(Value);
  if (Index >= VerdictNames.size())
    return tl::unexpected(CoapError::Malformed);
  Into.Verdict = static_cast<Verdict>(Index);
  return {};
}

bool isCritical(uint16_t Number) { return (Number & 1) != 0; }

/// Options that change nothing here: the service's address says it all.
bool isIgnored(uint16_t Number) {
  return Number == COAP_OPTION_URI_HOST || Number == COAP_OPTION_URI_PORT ||
         !isCritical(Number);
}

tl::expected<void, CoapError> readOption(Message &Into,
                                         const OptionView &Option) {
  const std::string_view Value = Option.Value;
  switch (Option.Number) {
  case COAP_OPTION_ETAG:
    Into.Etag = std::string(Value);
    return {};
  case COAP_OPTION_URI_PATH:
    Into.Path += '/' + escape(Value, PathExtras);
    return {};
  case COAP_OPTION_CONTENT_FORMAT:
    Into.ContentFormat = static_cast<uint16_t>(number(Value));
    return {};
  case COAP_OPTION_MAXAGE:
    Into.MaxAge = std::chrono::seconds(number(Value));
    return {};
  case COAP_OPTION_URI_QUERY:
    addQuery(Into, Value);
    return {};
  case COAP_OPTION_BLOCK2:
    return readBlock(Into.Block2, Value);
  case COAP_OPTION_BLOCK1:
    return readBlock(Into.Block1, Value);
  case COAP_OPTION_SIZE2:
    Into.Size2 = number(Value);
    return {};
  case EchoOption:
    Into.Echo = std::string(Value);
    return {};
  case RequestTagOption:
    Into.RequestTag = std::string(Value);
    return {};
  case TimeoutOption:
    Into.Timeout = std::chrono::milliseconds(number(Value));
    return {};
  case VerdictOption:
    return readVerdict(Into, Value);
  case CancelOption:
    Into.Cancel = true;
    return {};
  default:
    break;
  }
  if (isIgnored(Option.Number))
    return {};
  return tl::unexpected(CoapError::UnknownCriticalOption);
}

tl::expected<void, CoapError> readOptions(Message &Into,
                                          const coap_pdu_t *Pdu) {
  coap_opt_iterator_t Each;
  if (coap_option_iterator_init(Pdu, &Each, COAP_OPT_ALL) == nullptr)
    return {};
  while (const coap_opt_t *Option = coap_option_next(&Each)) {
    const OptionView View{
        Each.number,
        std::string_view(reinterpret_cast<const char *>(coap_opt_value(Option)),
                         coap_opt_length(Option))};
    if (auto Read = readOption(Into, View); !Read)
      return Read;
  }
  return {};
}

/// Collects options; they are written in ascending order, as deltas.
class OptionWriter {
public:
  void add(uint16_t Number, std::string_view Value) {
    const auto *Bytes = reinterpret_cast<const uint8_t *>(Value.data());
    const size_t Size = coap_opt_encode_size(Number - Last_, Value.size());
    const size_t At = Out_.size();
    Out_.resize(At + Size);
    coap_opt_encode(reinterpret_cast<coap_opt_t *>(Out_.data() + At), Size,
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

  /// One option for each segment between slashes, empty ones too.
  void addPath(std::string_view Text) {
    while (!Text.empty()) {
      const size_t End = Text.find('/');
      add(COAP_OPTION_URI_PATH, unescape(Text.substr(0, End)));
      if (End == std::string_view::npos)
        return;
      Text.remove_prefix(End + 1);
      // A slash at the end stands before one more, empty segment.
      if (Text.empty())
        add(COAP_OPTION_URI_PATH, {});
    }
  }

  /// One option for each parameter; libcoap refuses empty ones.
  void addQuery(std::string_view Text) {
    while (!Text.empty()) {
      const size_t End = std::min(Text.find('&'), Text.size());
      if (End > 0)
        add(COAP_OPTION_URI_QUERY, unescape(Text.substr(0, End)));
      Text.remove_prefix(std::min(End + 1, Text.size()));
    }
  }

  const std::string &bytes() const { return Out_; }

private:
  std::string Out_;
  /// Invariant: no option with a lower number is added any more.
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
  // libcoap would report each malformed datagram on standard error.
  [[maybe_unused]] static const bool Quiet = [] {
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

/// An empty acknowledgement or reset, as far as its header says. libcoap's own
/// client puts options behind some of them, against RFC 7252, section 4.1;
/// they are ignored, or it would be sent the same answer again and again.
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
  // A single empty segment is the same as none (RFC 7252, section 6.4).
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
