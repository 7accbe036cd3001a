// Runs requests at the local upstream over HTTP/1.1, with one connection and
// one thread per slot, cancellation and timeouts. Also polls the upstream's
// health and load endpoints.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_UPSTREAMCLIENT_H
#define DRAGONFLYSTALL_SRC_REQUESTS_UPSTREAMCLIENT_H

#include "dragonflystall/agentcore.h"

#include <functional>
#include <memory>

namespace dragonflystall {

class UpstreamClient {
public:
  /// Both functions are called on threads of the client.
  struct Listener {
    std::function<void(UpstreamAnswer)> OnAnswer;
    std::function<void(UpstreamHint)> OnHint;
  };

  UpstreamClient(Endpoint Upstream, uint32_t Slots, Listener Callbacks);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient &) = delete;
  UpstreamClient &operator=(const UpstreamClient &) = delete;

  /// May be called on any thread.
  void run(const RunUpstream &Request);
  /// May be called on any thread. The answer to the run still follows; its
  /// outcome shows whether the request was sent.
  void cancel(RunId Run);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
