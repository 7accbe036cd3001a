// HTTP/1.1 client of the platform's object store. Each object holds one
// connection and must be used by one thread; only stop() may be called from
// another thread.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_CLIENT_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_CLIENT_H

#include "objectstore/store.h"

#include <memory>

namespace dragonflystall {

/// Timeout of connecting and of writing. The read timeout is the same, plus
/// the wait time that a watch requests. Longer than CallTimeout of LinkCore, so
/// that LinkCore abandons a call first.
constexpr Duration HttpTimeout = 4s;

class HttpStore {
public:
  explicit HttpStore(Endpoint Platform);
  ~HttpStore();
  HttpStore(const HttpStore &) = delete;
  HttpStore &operator=(const HttpStore &) = delete;

  /// Blocks until the answer arrives or the timeout expires. After a failure
  /// the next call opens a new connection.
  StoreAnswer call(const StoreCall &Call);
  /// Cancels the call in progress. May be called from any thread.
  void stop();

private:
  struct State;
  std::unique_ptr<State> State_;
};

static_assert(Store<HttpStore>);

} // namespace dragonflystall

#endif
