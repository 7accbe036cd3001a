// An HTTP client and an HTTP server on one event loop.
#include "shell/http.h"

#include <csignal>
#include <event2/event.h>
#include <gtest/gtest.h>

namespace dragonflystall {
namespace {

constexpr Endpoint Local = {0x7f000001, 18431};

struct Http : testing::Test {
  std::unique_ptr<event_base, decltype(&event_base_free)> Base{
      event_base_new(), &event_base_free};
  std::optional<HttpRequest> Received;

  void SetUp() override { std::signal(SIGPIPE, SIG_IGN); }

  tl::expected<HttpResponse, HttpFailure> call(HttpChannel &Channel,
                                               const HttpRequest &Request,
                                               Duration Timeout = 2s) {
    tl::expected<HttpResponse, HttpFailure> Answer;
    Channel.request(Request, Timeout, [&](const auto &Result) {
      Answer = Result;
      event_base_loopbreak(Base.get());
    });
    event_base_dispatch(Base.get());
    return Answer;
  }
};

TEST_F(Http, ARequestIsAnswered) {
  HttpServer Server(Base.get(), [&](const HttpRequest &Request) {
    Received = Request;
    return HttpResponse{201, "answer", "text/plain"};
  });
  ASSERT_TRUE(Server.listen(Local));
  HttpChannel Channel(Base.get(), Local);
  for (int I = 0; I < 3; ++I) {
    const auto Answer =
        call(Channel, {HttpMethod::Put, "/path?a=1", "{\"body\":1}"});
    ASSERT_TRUE(Answer);
    EXPECT_EQ(Answer->Status, 201);
    EXPECT_EQ(Answer->Body, "answer");
    ASSERT_TRUE(Received);
    EXPECT_EQ(Received->Method, HttpMethod::Put);
    EXPECT_EQ(pathOf(Received->Target), "/path");
    EXPECT_EQ(Received->Body, "{\"body\":1}");
  }
}

TEST_F(Http, ARefusedConnectionIsAFailureAndTheNextRequestTriesAgain) {
  HttpChannel Channel(Base.get(), Local);
  EXPECT_FALSE(call(Channel, {HttpMethod::Get, "/", ""}));
  HttpServer Server(Base.get(),
                    [](const HttpRequest &) { return emptyJsonResponse(200); });
  ASSERT_TRUE(Server.listen(Local));
  EXPECT_TRUE(call(Channel, {HttpMethod::Get, "/", ""}));
}

TEST_F(Http, ARequestThatIsTooLargeDoesNotReachTheHandler) {
  HttpServer Server(Base.get(), [&](const HttpRequest &Request) {
    Received = Request;
    return emptyJsonResponse(200);
  });
  ASSERT_TRUE(Server.listen(Local));
  HttpChannel Channel(Base.get(), Local);
  const auto Answer =
      call(Channel, {HttpMethod::Post, "/", std::string(1 << 20, 'x')});
  EXPECT_FALSE(Answer && Answer->Status == 200);
  EXPECT_FALSE(Received);
}

TEST_F(Http, AnAbandonedRequestIsNotAnswered) {
  HttpServer Server(Base.get(),
                    [](const HttpRequest &) { return emptyJsonResponse(200); });
  ASSERT_TRUE(Server.listen(Local));
  HttpChannel Channel(Base.get(), Local);
  bool Called = false;
  Channel.request({HttpMethod::Get, "/", ""}, 2s,
                  [&](const auto &) { Called = true; });
  Channel.abandon();
  const timeval Soon = {0, 100000};
  event_base_loopexit(Base.get(), &Soon);
  event_base_dispatch(Base.get());
  EXPECT_FALSE(Called);
  EXPECT_FALSE(Channel.busy());
}

} // namespace
} // namespace dragonflystall
