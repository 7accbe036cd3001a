// The parts of the status that are exported to Prometheus.
#include "observe/statusmetrics.h"

#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

TEST(StatusMetrics, NumbersAndBooleansBecomeGauges) {
  EXPECT_EQ(
      statusMetrics(R"({"flows":7,"name":"a","leaving":true,"x":{"y":1}})"),
      "# TYPE dragonflystall_flows gauge\n"
      "dragonflystall_flows 7\n"
      "# TYPE dragonflystall_leaving gauge\n"
      "dragonflystall_leaving 1\n");
}

TEST(StatusMetrics, TextOtherThanAnObjectGivesNoMetrics) {
  EXPECT_EQ(statusMetrics(""), "");
  EXPECT_EQ(statusMetrics("[1]"), "");
}

} // namespace
} // namespace dragonflystall
