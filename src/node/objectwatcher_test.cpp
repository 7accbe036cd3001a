// Guards against calls in a tight loop because of what the store answers.
#include "node/configfixture_test.h"

namespace dragonflystall::node::test {
namespace {

struct OddStore : testing::Test {
  static constexpr Endpoint Address = {0x7f000001, 18448};

  Services Shared{"test"};
  StoreHealth Health{Shared};
  int Calls = 0;

  void SetUp() override { std::signal(SIGPIPE, SIG_IGN); }
  /// Runs a watcher against a store that answers each call with this text.
  void watch(const std::string &Body, Duration Length) {
    HttpServer Store(Shared.Base.get(), [&](const HttpRequest &) {
      ++Calls;
      return jsonResponse(HttpStatus::Ok, Body);
    });
    ASSERT_TRUE(Store.listen(Address));
    ObjectWatcher Watcher(Shared, Health,
                          {Address, 20s, platform::Consistency::Serializable},
                          ObjectKind::Agent,
                          {[](const platform::Page &, bool) {},
                           {},
                           [](const platform::Changes &) {}});
    runUntil(Watcher, Length, [] { return false; });
  }
  /// Runs until the condition is true, for no longer than the time.
  template <typename Condition>
  void runUntil(ObjectWatcher &Watcher, Duration Most, Condition IsTrue) {
    const TimePoint End = Shared.now() + Most;
    while (!IsTrue() && Shared.now() < End) {
      Watcher.poll(Shared.now());
      constexpr timeval PollInterval = {0, 5000};
      event_base_loopexit(Shared.Base.get(), &PollInterval);
      event_base_dispatch(Shared.Base.get());
    }
  }
};

/// With the least backoff: 0.1, 0.3 and 0.7 s after the first call.
constexpr int MaxCallsInASecond = 6;

TEST_F(OddStore, APageThatDoesNotAdvanceIsNotReadInALoop) {
  watch(R"({"items":[{"meta":{"name":"a","rev":5},"spec":{}}],)"
        R"("truncated":true,"currentRev":9})",
        1s);
  EXPECT_LE(Calls, MaxCallsInASecond);
}

TEST_F(OddStore, AnAnswerThatCanNotBeReadIsNotAskedForInALoop) {
  watch(R"({"items":[)", 1s);
  EXPECT_LE(Calls, MaxCallsInASecond);
  EXPECT_FALSE(Health.up());
}

TEST_F(OddStore, SkippedObjectsAreCounted) {
  watch(R"({"items":[{"meta":7}],"truncated":false,"currentRev":9})", 100ms);
  EXPECT_NE(
      Shared.Counts.prometheusText().find(
          "dragonflystall_store_objects_skipped_total{kind=\"agents\"} 1"),
      std::string::npos);
}

// Guards against a watch whose answer, with large objects of another writer, is
// asked for and dropped again and again.
TEST_F(OddStore, AWatchWithTooLongAnAnswerIsReplacedByAList) {
  const std::string Filler(MaxResponseBytes, ' ');
  int Lists = 0;
  HttpServer Store(Shared.Base.get(), [&](const HttpRequest &Request) {
    const bool IsWatch = Request.Target.find("watch=") != std::string::npos;
    Lists += !IsWatch;
    const std::string Text =
        IsWatch ? R"({"events":[],"currentRev":9})" + Filler
                : R"({"items":[],"truncated":false,"currentRev":9})";
    return jsonResponse(HttpStatus::Ok, Text);
  });
  ASSERT_TRUE(Store.listen(Address));
  ObjectWatcher Watcher(Shared, Health,
                        {Address, 20s, platform::Consistency::Serializable},
                        ObjectKind::Agent,
                        {[](const platform::Page &, bool) {},
                         {},
                         [](const platform::Changes &) {}});
  runUntil(Watcher, 3s, [&] { return Lists >= 2; });
  EXPECT_EQ(Lists, 2);
}

} // namespace
} // namespace dragonflystall::node::test
