// Conversion between CoAP datagrams and Message values, using libcoap's codec.
#ifndef DRAGONFLYSTALL_SRC_WIRE_COAP_H
#define DRAGONFLYSTALL_SRC_WIRE_COAP_H

#include "dragonflystall/message.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace dragonflystall::wire {

/// Experimental option numbers (RFC 7252, section 12.2): even ones are
/// elective. Timeout: remaining time in milliseconds, unsigned integer.
/// Verdict: one byte. Cancel is critical, so that a peer that does not support
/// it must not run the request.
constexpr uint16_t TimeoutOption = 65002;
constexpr uint16_t VerdictOption = 65004;
constexpr uint16_t CancelOption = 65003;

/// The largest datagram that is decoded: a block of 1,024 bytes and options.
constexpr size_t MaxCoapBytes = 2048;

enum class CoapError : uint8_t { Malformed, UnknownCriticalOption, TooLarge };

constexpr std::array<std::string_view, 3> CoapErrorNames = {
    "malformed", "unknown-critical-option", "too-large"};
constexpr std::string_view name(CoapError E) {
  return CoapErrorNames[static_cast<size_t>(E)];
}

tl::expected<Message, CoapError> decodeCoap(std::string_view Datagram);
/// The payload must fit into one datagram: a body longer than one block must be
/// split into blocks before the call.
std::string encodeCoap(const Message &Value);

} // namespace dragonflystall::wire

#endif
