// Forged tickets are rejected, and records stay within their limits.
#include "ticketbook.h"
#include "ticketlimits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflystall {
namespace {

constexpr AgentRef Issuer{AgentId{7}, Incarnation{9}};
constexpr FlowKey Flow{ServiceId{1}, {2, 3}};

TEST(Tickets, AnyChangedByteMakesATicketUnknown) {
  TicketBook Book(Issuer, 1);
  const TimePoint Now{1min};
  const std::string Good = Book.issue(Flow, 60s, Now);
  ASSERT_EQ(Book.check(Flow, Good, Now).State, TicketState::Fresh);
  for (size_t I = 0; I < Good.size(); ++I) {
    std::string Bad = Good;
    Bad[I] ^= 1;
    EXPECT_EQ(Book.check(Flow, Bad, Now).State, TicketState::Unknown);
  }
}

RC_GTEST_PROP(Tickets, ForeignBytesNeverRun, (const std::string &Bytes)) {
  const TicketBook Book(Issuer, 1);
  for (const size_t Size : {Bytes.size(), TicketBytes}) {
    std::string Echo = Bytes;
    Echo.resize(Size, 'x');
    const TicketState State = Book.check(Flow, Echo, TimePoint{1min}).State;
    RC_ASSERT(State == (Size == TicketBytes ? TicketState::Unknown
                                            : TicketState::NoTicket));
  }
}

TEST(Tickets, RecordsAreBoundedAndDroppedOnesMakeTicketsUnknown) {
  TicketBook Book(Issuer, 1);
  TimePoint Now{1min};
  const std::string First = Book.issue(Flow, 60s, Now);
  Book.use(Flow, Book.check(Flow, First, Now));
  for (size_t I = 0; I < MaxTicketRecords + 10; ++I) {
    Now += 100us;
    const FlowKey Other{ServiceId{1}, {static_cast<uint32_t>(I), 4}};
    const std::string Echo = Book.issue(Other, 60s, Now);
    Book.use(Other, Book.check(Other, Echo, Now));
  }
  Book.tick(Now);
  EXPECT_LE(Book.records(), MaxTicketRecords);
  // Its record was dropped, so its use is no longer known.
  EXPECT_EQ(Book.check(Flow, First, Now).State, TicketState::Unknown);
  Book.tick(Now + 60s + RecordLifetime);
  EXPECT_EQ(Book.records(), 0U);
  EXPECT_EQ(Book.bytes(), 0U);
}

} // namespace
} // namespace dragonflystall
