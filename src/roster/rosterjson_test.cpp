// Rosters are unchanged by a JSON round trip; invalid ones are refused with the
// path of the error.
#include "roster/rosterjson.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflystall {
namespace {

Roster makeRoster(uint32_t Count) {
  Roster Result;
  Result.Service = serviceId("a", "x");
  Result.Team = "a";
  Result.Name = "x";
  Result.Version = 17;
  for (uint32_t I = 1; I <= Count; ++I) {
    RosterEntry Entry;
    Entry.Agent = {AgentId{I * 0x01234567}, Incarnation{~uint64_t{0} - I}};
    Entry.Name = "lund-a/tag-" + std::to_string(I);
    Entry.Zone = "lund-a";
    Entry.Data = {0x0a000100 + I, 7000};
    Entry.Control = {0x0a000100 + I, 7001};
    Entry.Phase = I % 2 ? AgentPhase::Serving : AgentPhase::Leaving;
    Entry.Slots = I;
    Entry.Connections = 2000;
    upsert(Result, Entry);
  }
  return Result;
}

TEST(RosterJson, RostersAreUnchangedByARoundTrip) {
  for (const uint32_t Count : {0U, 1U, 10U}) {
    const Roster Original = makeRoster(Count);
    const auto Parsed = rosterFromJson("a", "x", 17, rosterToJson(Original));
    ASSERT_TRUE(Parsed);
    EXPECT_EQ(*Parsed, Original);
  }
}

TEST(RosterJson, AnAbsentObjectIsAnEmptyRoster) {
  const auto Parsed = rosterFromJson("a", "x", 0, "");
  ASSERT_TRUE(Parsed);
  EXPECT_EQ(Parsed->Service, serviceId("a", "x"));
  EXPECT_TRUE(Parsed->Agents.empty());
}

TEST(RosterJson, ErrorsNameThePathOfTheInvalidKey) {
  const auto Parsed = rosterFromJson(
      "a", "x", 1,
      R"({"agents":[{"id":1,"incarnation":"zz","name":"t","zone":"q",)"
      R"("data":"10.0.0.1:1","control":"10.0.0.1:2","phase":"serving",)"
      R"("slots":1,"connections":1},{"id":"2"}]})");
  ASSERT_FALSE(Parsed);
  EXPECT_EQ(Parsed.error()[0].Path, "/agents/0/incarnation");
  EXPECT_GE(Parsed.error().size(), 9U);
}

TEST(RosterJson, ADuplicateIdIsRefused) {
  std::string Text = rosterToJson(makeRoster(1));
  const std::string Entry = Text.substr(11, Text.size() - 13);
  Text = R"({"agents":[)" + Entry + "," + Entry + "]}";
  const auto Parsed = rosterFromJson("a", "x", 1, Text);
  ASSERT_FALSE(Parsed);
  EXPECT_EQ(Parsed.error()[0].Path, "/agents/1/id");
}

RC_GTEST_PROP(RosterJson, AnyBytesAreParsedOrRefused, ()) {
  std::string Text =
      rosterToJson(makeRoster(*rc::gen::inRange<uint32_t>(0, 4)));
  const auto Changes = *rc::gen::inRange(0, 6);
  for (int I = 0; I < Changes; ++I)
    Text[*rc::gen::inRange<size_t>(0, Text.size())] =
        *rc::gen::arbitrary<char>();
  const auto Parsed = rosterFromJson("a", "x", 5, Text);
  if (!Parsed)
    return;
  RC_ASSERT(std::is_sorted(Parsed->Agents.begin(), Parsed->Agents.end(),
                           [](const RosterEntry &A, const RosterEntry &B) {
                             return A.Agent.Id < B.Agent.Id;
                           }));
}

} // namespace
} // namespace dragonflystall
