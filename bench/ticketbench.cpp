// The speed of issuing tickets, checking them and marking them as used.
#include "bench.h"

#include "requests/ticketbook.h"

#include <chrono>
#include <fmt/format.h>

namespace dragonflystall::bench {

Outcome issueAndCheckTickets() {
  constexpr uint32_t Decisions = 200'000;
  constexpr uint32_t Flows = 2000;
  TicketBook Book({AgentId{1}, Incarnation{1}}, 1);
  TimePoint Now{1min};
  Outcome Result;
  Result.Decisions = Decisions;
  const auto Start = std::chrono::steady_clock::now();
  for (uint32_t I = 0; I < Decisions; ++I) {
    const FlowKey Flow{ServiceId{1}, {I % Flows, 5683}};
    const std::string Echo = Book.issue(Flow, 60s, Now);
    const TicketCheck Checked = Book.check(Flow, Echo, Now);
    Result.Signature =
        mix(Result.Signature,
            Checked.Id.Counter * 8 + static_cast<uint64_t>(Checked.State));
    Book.use(Flow, Checked);
    Book.settle(Flow, Checked.Id, bareAnswer(Code::Changed, Verdict::Ran));
    Now += 10ms;
    if (I % 10 == 0)
      Book.tick(Now);
  }
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Start;
  Result.Seconds = Took.count();
  Result.Remark = fmt::format("{} records kept", Book.records());
  return Result;
}

} // namespace dragonflystall::bench
