// Polls the upstream's health and load endpoints once a second, on a separate
// thread and with timeouts, since they may hang while requests still succeed.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_HINTPOLLER_H
#define DRAGONFLYSTALL_SRC_REQUESTS_HINTPOLLER_H

#include "dragonflystall/agentcore.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace dragonflystall {

class HintPoller {
public:
  /// OnHint is called on the poller's thread.
  HintPoller(Endpoint Upstream, std::function<void(UpstreamHint)> OnHint);
  ~HintPoller();
  HintPoller(const HintPoller &) = delete;
  HintPoller &operator=(const HintPoller &) = delete;

private:
  void poll();
  UpstreamHint fetchHint() const;

  const Endpoint Upstream_;
  const std::function<void(UpstreamHint)> OnHint_;
  std::mutex Mutex_;
  std::condition_variable Stop_;
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace dragonflystall

#endif
