// The order, the filters and the HTML page of the merged time line.
#include "observe/mergedtimeline.h"

#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

std::string line(HybridTime At, EventKind Kind, Endpoint Caller = {}) {
  StampedEvent E;
  E.At = At;
  E.Payload.Kind = Kind;
  if (Caller)
    E.Payload.Flow = {ServiceId{1}, Caller};
  return eventJson(At % 2 == 0 ? "p0" : "p1", E);
}

const Endpoint Scanner{1, 1};
const Endpoint Other{1, 2};

TEST(MergedTimeline, EventsOfAllProcessesAreSorted) {
  MergedTimeline Merged;
  Merged.add(line(5, EventKind::Started) + line(9, EventKind::Stopping), {});
  Merged.add(line(6, EventKind::ZoneOut) + "no JSON\n{}\n", {});
  Merged.sort();
  ASSERT_EQ(Merged.events().size(), 3U);
  EXPECT_EQ(Merged.events()[1].Kind, "zone-out");
  EXPECT_EQ(Merged.next(), 10U);
}

TEST(MergedTimeline, FiltersSelectOneFlowOrRareEvents) {
  const std::string Lines = line(1, EventKind::FlowPlaced, Scanner) +
                            line(2, EventKind::FlowPlaced, Other) +
                            line(3, EventKind::FlowHandedOver, Scanner) +
                            line(4, EventKind::ZoneOut);
  MergedTimeline Merged;
  Merged.add(Lines, {.Caller = toString(Scanner), .Request = "", .Since = 2});
  ASSERT_EQ(Merged.events().size(), 1U);
  EXPECT_EQ(Merged.events()[0].Kind, "flow-handed-over");
  MergedTimeline Rare;
  TimelineFilter OnlyRare;
  OnlyRare.RareOnly = true;
  Rare.add(Lines, OnlyRare);
  ASSERT_EQ(Rare.events().size(), 1U);
  EXPECT_EQ(Rare.events()[0].Kind, "zone-out");
}

TEST(MergedTimeline, PageEscapesTextsFromProcesses) {
  StampedEvent E;
  E.At = 1;
  E.Payload.Detail = "<script>alert(1)</script>";
  MergedTimeline Merged;
  Merged.add(eventJson("p", E), {});
  const std::string Page = toHtml(Merged);
  EXPECT_EQ(Page.find("<script>alert"), std::string::npos);
  EXPECT_NE(Page.find("&lt;script&gt;alert"), std::string::npos);
  EXPECT_NE(toHtml(MergedTimeline()).find("No event"), std::string::npos);
}

} // namespace
} // namespace dragonflystall
