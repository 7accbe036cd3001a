// The bounds on what an agent remembers of tickets.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_TICKETLIMITS_H
#define DRAGONFLYSTALL_SRC_REQUESTS_TICKETLIMITS_H

#include "dragonflystall/types.h"

namespace dragonflystall {

constexpr Duration MaxTicketLifetime = 60min;
/// How long after a ticket's expiry its record is kept.
constexpr Duration RecordLifetime = 10min;
/// Above these the oldest records go first, and the tickets that expired up to
/// then are no longer certain.
constexpr size_t MaxTicketRecords = 65'536;
constexpr size_t MaxRecordBytes = 8 << 20;
/// Answers up to one block are kept with the ticket's record.
constexpr size_t MaxRecordedBody = 1024;

} // namespace dragonflystall

#endif
