// Answers of the platform survive their JSON form, and any bytes at all are
// read or refused.
#include "objectstore/memorystore.h"
#include "objectstore/storejson.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflystall {
namespace {

const StoreCall List{.Kind = StoreCallKind::List, .Key = "settings/"};
const StoreCall Get{.Kind = StoreCallKind::Get, .Key = "settings/zones/q"};
const StoreCall Put{.Kind = StoreCallKind::Put, .Key = "settings/zones/q"};

MemoryStore storeWithOneObjectAndATombstone() {
  MemoryStore Store;
  for (const char *Key : {"settings/zones/q", "settings/zones/r"})
    Store.call({.Kind = StoreCallKind::Put,
                .Key = Key,
                .Value = R"({"state":"in"})",
                .Writer = "w-1",
                .Team = "operations"});
  Store.call({.Kind = StoreCallKind::Delete,
              .Key = "settings/zones/r",
              .Version = 2,
              .Writer = "w-2",
              .Team = "operations"});
  return Store;
}

TEST(StoreJson, AnswersSurviveTheirJsonForm) {
  MemoryStore Store = storeWithOneObjectAndATombstone();
  const StoreCall Watch{.Kind = StoreCallKind::Watch, .Key = "settings/"};
  const StoreCall Gone{.Kind = StoreCallKind::Get, .Key = "settings/zones/r"};
  for (const StoreCall &Call : {List, Get, Watch, Gone}) {
    const StoreAnswer Answer = Store.call(Call);
    const StoreAnswer Read = decodeAnswer(Call, encodeAnswer(Call, Answer));
    EXPECT_EQ(Read.Status, Answer.Status);
    EXPECT_EQ(Read.Revision, Answer.Revision);
    EXPECT_EQ(Read.Objects, Answer.Objects);
  }
}

TEST(StoreJson, StatusesTellWhatMayHaveBeenDone) {
  const auto StatusOf = [](const StoreCall &Call, int Http, const char *Body) {
    return decodeAnswer(Call, {Http, Body}).Status;
  };
  EXPECT_EQ(StatusOf(Put, 412, "{}"), StoreStatus::Conflict);
  EXPECT_EQ(StatusOf(Put, 403, "{}"), StoreStatus::Forbidden);
  EXPECT_EQ(StatusOf(Put, 503, ""), StoreStatus::Lost);
  EXPECT_EQ(StatusOf(Put, 200, "half of an ans"), StoreStatus::Lost);
  EXPECT_EQ(StatusOf(Get, 200, "half of an ans"), StoreStatus::Invalid);
  EXPECT_EQ(StatusOf(Get, 404, ""), StoreStatus::Absent);
  EXPECT_EQ(decodeAnswer(Get, {429, "", "7"}).RetryAfter, Duration(7s));
  EXPECT_EQ(decodeAnswer(Get, {429, "", "soon"}).RetryAfter, Duration(1s));
}

TEST(MemoryStore, ATeamWritesItsOwnSubtreeOnly) {
  EXPECT_TRUE(mayWrite("a", "settings/a/services/x"));
  EXPECT_TRUE(mayWrite("a", "rosters/a/x"));
  EXPECT_FALSE(mayWrite("a", "settings/b/services/x"));
  EXPECT_FALSE(mayWrite("a", "settings/zones/q"));
  EXPECT_FALSE(mayWrite("", "settings/a/services/x"));
  EXPECT_TRUE(mayWrite("operations", "settings/zones/q"));
}

RC_GTEST_PROP(StoreJson, AnyBytesAreReadOrRefused, ()) {
  MemoryStore Store = storeWithOneObjectAndATombstone();
  for (const StoreCall &Call : {List, Get, Put}) {
    HttpAnswer Http = encodeAnswer(Call, Store.call(Call));
    const auto Changes = *rc::gen::inRange(0, 5);
    for (int I = 0; I < Changes && !Http.Body.empty(); ++I)
      Http.Body[*rc::gen::inRange<size_t>(0, Http.Body.size())] =
          *rc::gen::arbitrary<char>();
    if (*rc::gen::inRange(0, 4) == 0)
      Http.Body = *rc::gen::arbitrary<std::string>();
    Http.Status = *rc::gen::element(200, 200, 200, 404, 412, 429, 500, 302);
    const StoreAnswer Read = decodeAnswer(Call, Http);
    for (const StoredObject &Object : Read.Objects) {
      RC_ASSERT(Object.Key.starts_with(Call.Key));
      RC_ASSERT(Object.Version > 0U && Object.Version <= Read.Revision);
    }
    // What can't be read must not count as proof of a write.
    if (isWrite(Call.Kind) && Read.Status == StoreStatus::Done)
      RC_ASSERT(Read.Revision > 0U);
  }
}

} // namespace
} // namespace dragonflystall
