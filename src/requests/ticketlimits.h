// The limits on the ticket records of an agent.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TICKETLIMITS_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TICKETLIMITS_H

#include "dragonflystall/types.h"

namespace dragonflystall {

constexpr Duration MaxTicketLifetime = 60min;
/// How long after a ticket's expiry its record is kept.
constexpr Duration RecordLifetime = 10min;
/// Above these limits the oldest records are dropped, and all tickets that
/// expire no later than the dropped ones become TicketState::Unknown.
constexpr size_t MaxTicketRecords = 65'536;
constexpr size_t MaxRecordBytes = 8 << 20;
/// Bodies of answers up to this size (one block) are kept in the ticket's
/// record.
constexpr size_t MaxRecordedBody = 1024;

} // namespace dragonflystall

#endif
