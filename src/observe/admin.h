// The HTTP administration API of a daemon: /healthz, /readyz, /status, /metrics
// and /timeline. The server has its own threads, so the handlers must be
// thread-safe.
#ifndef DRAGONFLYSTALL_SRC_OBSERVE_ADMIN_H
#define DRAGONFLYSTALL_SRC_OBSERVE_ADMIN_H

#include "dragonflystall/types.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace dragonflystall {

struct AdminHandlers {
  std::function<bool()> Ready;
  std::function<std::string()> StatusJson;
  std::function<std::string()> MetricsText;
  std::function<std::string(uint64_t Since)> TimelineJson;
};

class AdminServer {
public:
  /// Binds Local and starts serving. Returns an error text if the address
  /// cannot be bound.
  static tl::expected<std::unique_ptr<AdminServer>, std::string>
  start(Endpoint Local, AdminHandlers Handlers);
  ~AdminServer();

private:
  AdminServer();
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace dragonflystall

#endif
