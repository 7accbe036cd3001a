// Forwards whole calls.
#include "relay.h"

namespace review {

namespace {

constexpr Duration CallTimeout = 2s;

} // namespace

Relay::Relay(Loop &Events, Address Local, Address Agent)
    : Events_(Events), Agent_(Agent),
      Server_(
          Events, Local,
          [this](const HttpMessage &Request, const HttpServer::Reply &Answer) {
            if (IsCut_)
              Held_.push_back({Request, Answer});
            else
              forward({Request, Answer}, nullptr);
          }) {}

void Relay::forward(const Call &C, std::function<void(int Status)> OnDone) {
  httpCall(Events_, Agent_, C.Request.Method, C.Request.Path, C.Request.Body,
           CallTimeout,
           [Answer = C.Answer,
            OnDone = std::move(OnDone)](const HttpMessage &Result) {
             if (Result.Status != 0)
               Answer(Result.Status, Result.Body);
             if (OnDone)
               OnDone(Result.Status);
           });
}

void Relay::deliver(const std::function<void(int Status)> &OnDone) {
  for (const Call &C : Held_)
    forward(C, OnDone);
  Held_.clear();
}

} // namespace review
