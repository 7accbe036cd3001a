// Runs requests at the local upstream over HTTP/1.1: one connection and one
// thread for each slot, with cancellation and timeouts. Polls the upstream's
// health and load endpoints for hints.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_UPSTREAMCLIENT_H
#define DRAGONFLYSTALL_SRC_REQUESTS_UPSTREAMCLIENT_H

#include "dragonflystall/agentcore.h"

#include <functional>
#include <memory>

namespace dragonflystall {

class UpstreamClient {
public:
  /// Both are called on threads of the client.
  struct Listener {
    std::function<void(UpstreamAnswer)> OnAnswer;
    std::function<void(UpstreamHint)> OnHint;
  };

  UpstreamClient(Endpoint Upstream, uint32_t Slots, Listener Owner);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient &) = delete;
  UpstreamClient &operator=(const UpstreamClient &) = delete;

  /// Any thread.
  void run(const RunUpstream &Request);
  /// Any thread. The answer that follows tells how far the request came.
  void cancel(RunId Run);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
