// The outcome for each way in which a run can end, with a real HTTP server.
#include "upstreamclient.h"

#include <future>
#include <gtest/gtest.h>
#include <httplib.h>
#include <thread>

namespace dragonflystall {
namespace {

class UpstreamClientTest : public testing::Test {
protected:
  UpstreamClientTest() {
    // Only one worker, since the library's workers share tables that the first
    // one initialises, and ThreadSanitizer can't see the guards of these tables
    // in Debian's build of the library.
    Server_.new_task_queue = [] { return new httplib::ThreadPool(1); };
    Server_.Get("/shed", [](const auto &, auto &Answer) {
      Answer.status = 503;
      Answer.set_header("Retry-After", "2");
    });
    Server_.Get("/broken",
                [](const auto &, auto &Answer) { Answer.status = 503; });
    Server_.Get("/stuck", [this](const auto &, auto &) {
      Entered_.set_value();
      Release_.get_future().wait();
    });
    Server_.Post("/echo", [](const auto &Request, auto &Answer) {
      Answer.set_content(Request.get_header_value("X-Caller") + Request.body,
                         "text/plain");
    });
    Port_ = static_cast<uint16_t>(Server_.bind_to_any_port("127.0.0.1"));
    Thread_ = std::thread([this] { Server_.listen_after_bind(); });
    while (!Server_.is_running())
      std::this_thread::yield();
  }
  ~UpstreamClientTest() override {
    Server_.stop();
    Thread_.join();
  }

  UpstreamAnswer outcomeOf(UpstreamClient &Client, const RunUpstream &Request) {
    Answer_ = {};
    auto Pending = Answer_.get_future();
    Client.run(Request);
    return Pending.get();
  }
  UpstreamClient::Listener listener() {
    return {[this](UpstreamAnswer A) { Answer_.set_value(std::move(A)); },
            nullptr};
  }
  static RunUpstream get(std::string Path, Duration Timeout = 20s) {
    RunUpstream Request;
    Request.Run = RunId{7};
    Request.Caller = {0x7f000001, 9};
    Request.Path = std::move(Path);
    Request.Timeout = Timeout;
    return Request;
  }

  httplib::Server Server_;
  std::thread Thread_;
  uint16_t Port_ = 0;
  std::promise<UpstreamAnswer> Answer_;
  std::promise<void> Entered_;
  std::promise<void> Release_;
};

TEST_F(UpstreamClientTest, CarriesTheRequestAndTheAnswer) {
  UpstreamClient Client({0x7f000001, Port_}, 1, listener());
  RunUpstream Request = get("/echo");
  Request.Method = Code::Post;
  Request.Body = "+body";
  const UpstreamAnswer Answer = outcomeOf(Client, Request);
  EXPECT_EQ(Answer.Run, RunId{7});
  EXPECT_EQ(Answer.Outcome, UpstreamOutcome::Answered);
  EXPECT_EQ(Answer.HttpStatus, 200);
  EXPECT_EQ(Answer.Body, "127.0.0.1:9+body");
  EXPECT_EQ(Answer.ContentType, "text/plain");
}

TEST_F(UpstreamClientTest, OnlyARetryAfterProvesThatItWasShed) {
  UpstreamClient Client({0x7f000001, Port_}, 1, listener());
  const UpstreamAnswer Shed = outcomeOf(Client, get("/shed"));
  EXPECT_EQ(Shed.Outcome, UpstreamOutcome::Shed);
  EXPECT_EQ(Shed.RetryAfter, 2s);
  EXPECT_EQ(outcomeOf(Client, get("/broken")).Outcome,
            UpstreamOutcome::Answered);
}

TEST_F(UpstreamClientTest, NoListenerIsRefused) {
  UpstreamClient Client({0x7f000001, 1}, 1, listener());
  EXPECT_EQ(outcomeOf(Client, get("/")).Outcome, UpstreamOutcome::Refused);
}

TEST_F(UpstreamClientTest, ASilentUpstreamTimesOut) {
  UpstreamClient Client({0x7f000001, Port_}, 1, listener());
  const UpstreamAnswer Answer = outcomeOf(Client, get("/stuck", 50ms));
  Release_.set_value();
  EXPECT_EQ(Answer.Outcome, UpstreamOutcome::TimedOut);
}

TEST_F(UpstreamClientTest, ACancelledRunMayHaveRun) {
  UpstreamClient Client({0x7f000001, Port_}, 1, listener());
  auto Pending = Answer_.get_future();
  Client.run(get("/stuck"));
  Entered_.get_future().wait();
  Client.cancel(RunId{7});
  EXPECT_EQ(Pending.get().Outcome, UpstreamOutcome::Failed);
  Release_.set_value();
}

TEST_F(UpstreamClientTest, ACancelledQueuedRunIsNeverSent) {
  std::promise<UpstreamAnswer> Second;
  UpstreamClient Client({0x7f000001, Port_}, 1,
                        {[&](UpstreamAnswer A) {
                           if (A.Run == RunId{8})
                             Second.set_value(std::move(A));
                         },
                         nullptr});
  Client.run(get("/stuck"));
  Entered_.get_future().wait();
  RunUpstream Queued = get("/echo");
  Queued.Run = RunId{8};
  Client.run(Queued);
  Client.cancel(RunId{8});
  Release_.set_value();
  EXPECT_EQ(Second.get_future().get().Outcome, UpstreamOutcome::Refused);
}

} // namespace
} // namespace dragonflystall
