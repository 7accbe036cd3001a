// The daemons' plumbing over loopback: tasks, timers, datagrams, messages.
#include "shell/controlbus.h"
#include "shell/loop.h"
#include "shell/udpsocket.h"

#include <gtest/gtest.h>

#include <control.pb.h>
#include <thread>
#include <unistd.h>

namespace dragonflystall {
namespace {

/// Loopback addresses of this process alone: test runs may go side by side.
const uint32_t OwnAddresses =
    0x7f400000 + 2 * (static_cast<uint32_t>(getpid()) % 0x100000);
const Endpoint First{OwnAddresses, 17901};
const Endpoint Second{OwnAddresses + 1, 17901};
/// Ends a test that would wait for ever; no verdict depends on it otherwise.
constexpr Duration Guard = 20s;

TEST(Loop, RunsTasksThatOtherThreadsPostInOrder) {
  Loop Owner;
  std::vector<int> Seen;
  std::thread Poster([&] {
    for (int I = 0; I < 100; ++I)
      Owner.post([&Seen, I] { Seen.push_back(I); });
    Owner.post([&Owner] { Owner.stop(); });
  });
  Owner.run();
  Poster.join();
  ASSERT_EQ(Seen.size(), 100U);
  EXPECT_TRUE(std::is_sorted(Seen.begin(), Seen.end()));
}

TEST(Loop, ForgetsADescriptor) {
  Loop Owner;
  const auto Forgotten = UdpSocket::bind({First.Ip, 0});
  ASSERT_TRUE(Forgotten);
  bool Called = false;
  Owner.watch((*Forgotten)->descriptor(), [&Called] { Called = true; });
  Owner.unwatch((*Forgotten)->descriptor());
  int Rounds = 0;
  Owner.every(1ms, [&] {
    if (++Rounds == 3)
      Owner.stop();
  });
  Owner.run();
  EXPECT_FALSE(Called);
}

TEST(UdpSocket, CarriesWholeBatchesAndDropsWhatIsTooLarge) {
  constexpr int Count = 150;
  Loop Owner;
  const auto Sender = UdpSocket::bind(First);
  const auto Receiver = UdpSocket::bind(Second);
  ASSERT_TRUE(Sender && Receiver);
  std::vector<std::string> Seen;
  Owner.watch((*Receiver)->descriptor(), [&] {
    (*Receiver)->receive([&](Endpoint From, std::string_view Bytes) {
      EXPECT_EQ(From, First);
      Seen.emplace_back(Bytes);
    });
    if (Seen.size() == Count)
      Owner.stop();
  });
  Owner.every(Guard, [&Owner] { Owner.stop(); });
  (*Sender)->send(Second, std::string(MaxDatagramBytes + 1, 'x'));
  for (int I = 0; I < Count; ++I)
    (*Sender)->send(Second, "head-", std::to_string(I));
  (*Sender)->flush();
  Owner.run();
  ASSERT_EQ(Seen.size(), Count);
  EXPECT_EQ(Seen.front(), "head-0");
  EXPECT_EQ(Seen.back(), "head-149");
  EXPECT_EQ((*Sender)->dropped(), 1U);
}

TEST(UdpSocket, SaysWhyItCannotBind) {
  const auto Holder = UdpSocket::bind(First);
  const auto Late = UdpSocket::bind(First);
  ASSERT_FALSE(Late);
  EXPECT_NE(Late.error().find("in use"), std::string::npos);
}

class ControlBusTest : public ::testing::Test {
protected:
  void send(ControlBus &From, uint64_t Number) {
    wire::ControlMessage Message;
    Message.set_settings_version(Number);
    From.send(Second, Message);
  }

  /// Runs until the receiver got so many messages.
  void await(ControlBus &Receiver, size_t Count) {
    Loop Owner;
    Owner.watch(Receiver.descriptor(), [&] {
      Receiver.receive([&](uint32_t FromIp, const auto &Value) {
        EXPECT_EQ(FromIp, First.Ip);
        Seen_.push_back(Value->settings_version());
      });
      if (Seen_.size() >= Count)
        Owner.stop();
    });
    Owner.every(Guard, [&Owner] { Owner.stop(); });
    Owner.run();
  }

  std::vector<uint64_t> Seen_;
};

TEST_F(ControlBusTest, MessagesArriveInOrderWithTheSendersAddress) {
  const auto Sender = ControlBus::bind(First);
  const auto Receiver = ControlBus::bind(Second);
  ASSERT_TRUE(Sender && Receiver);
  for (uint64_t I = 1; I <= 3; ++I)
    send(**Sender, I);
  await(**Receiver, 3);
  EXPECT_EQ(Seen_, (std::vector<uint64_t>{1, 2, 3}));
  EXPECT_EQ((*Sender)->bytesSent(), (*Receiver)->bytesReceived());
}

TEST_F(ControlBusTest, AReplacedConnectionCarriesTheNextMessage) {
  const auto Sender = ControlBus::bind(First);
  const auto Receiver = ControlBus::bind(Second);
  ASSERT_TRUE(Sender && Receiver);
  send(**Sender, 1);
  await(**Receiver, 1);
  (*Sender)->replace(Second);
  send(**Sender, 2);
  await(**Receiver, 2);
  EXPECT_EQ(Seen_.back(), 2U);
}

TEST_F(ControlBusTest, AClosedConnectionSendsNothingThatWaited) {
  const auto Sender = ControlBus::bind(First);
  ASSERT_TRUE(Sender);
  send(**Sender, 1);
  (*Sender)->closeUnless([](Endpoint) { return false; });
  const auto Receiver = ControlBus::bind(Second);
  ASSERT_TRUE(Receiver);
  send(**Sender, 2);
  await(**Receiver, 1);
  EXPECT_EQ(Seen_, std::vector<uint64_t>{2});
}

TEST_F(ControlBusTest, AFullQueueDropsAndNeverBlocks) {
  const auto Sender = ControlBus::bind(First);
  ASSERT_TRUE(Sender);
  for (uint64_t I = 0; I < 2000; ++I)
    send(**Sender, I);
  EXPECT_GT((*Sender)->dropped(), 0U);
}

} // namespace
} // namespace dragonflystall
