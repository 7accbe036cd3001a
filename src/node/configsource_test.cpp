// What a process is told of its configuration, and when.
#include "node/configfixture_test.h"

namespace dragonflystall::node::test {
namespace {

struct ConfigReports : ConfigFixture {};

// Guards against more new flows than a cold upstream bears: an agent that is
// not told that the evacuations are known believes a heartbeat of before.
TEST_F(ConfigReports, EvacuationsThatAreKnownAreReportedThoughThereAreNone) {
  EXPECT_FALSE(config().knowsEvacuations());
  EXPECT_EQ(EvacuationReports, 0);
  put(1);
  ASSERT_TRUE(comesTrue([&] { return config().knowsEvacuations(); }));
  EXPECT_EQ(EvacuationReports, 1);
  evacuate("zone-a");
  ASSERT_TRUE(comesTrue([&] { return config().isEvacuated("zone-a"); }));
  EXPECT_EQ(EvacuationReports, 2);
}

} // namespace
} // namespace dragonflystall::node::test
