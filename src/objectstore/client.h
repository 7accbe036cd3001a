// The store over HTTP/1.1. One object holds one connection and is used by one
// thread; stop() alone may come from another.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_CLIENT_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_CLIENT_H

#include "objectstore/store.h"

#include <memory>

namespace dragonflystall {

/// How long connecting and writing may each take, and reading beyond the wait
/// that a watch asks for. Longer than the core waits, which abandons first.
constexpr Duration HttpTimeout = 4s;

class HttpStore {
public:
  explicit HttpStore(Endpoint Platform);
  ~HttpStore();
  HttpStore(const HttpStore &) = delete;
  HttpStore &operator=(const HttpStore &) = delete;

  /// Blocks until the answer or the timeout. After a failure the next call
  /// makes a new connection.
  StoreAnswer call(const StoreCall &Call);
  /// Breaks off the call in progress. Any thread.
  void stop();

private:
  struct State;
  std::unique_ptr<State> State_;
};

static_assert(Store<HttpStore>);

} // namespace dragonflystall

#endif
