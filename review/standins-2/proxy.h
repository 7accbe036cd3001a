// A TCP proxy in front of the store. Open connections can be made silent for
// good: they stay open, and nothing passes on them. New ones work.
#ifndef REVIEW_STANDINS_2_PROXY_H
#define REVIEW_STANDINS_2_PROXY_H

#include "node/services.h"

#include <list>

struct evconnlistener;
struct bufferevent;

namespace review {

using namespace dragonflystall;

class Proxy {
public:
  /// Throws std::runtime_error if the address cannot be bound.
  Proxy(node::Services &Shared, Endpoint Listen, Endpoint Server);
  ~Proxy();
  Proxy(const Proxy &) = delete;
  Proxy &operator=(const Proxy &) = delete;

  /// Makes all connections that are open now silent. Returns their number.
  size_t silenceOpenConnections();

private:
  struct Pair {
    Proxy *Owner = nullptr;
    bufferevent *Client = nullptr;
    bufferevent *Server = nullptr;
    bool Silent = false;
  };

  static void onAccept(evconnlistener *, int Socket, struct sockaddr *, int,
                       void *Self);
  static void onRead(bufferevent *From, void *Connection);
  static void onEvent(bufferevent *, short Events, void *Connection);
  void close(Pair &Closed);

  node::Services &Shared_;
  Endpoint Server_;
  evconnlistener *Listener_;
  std::list<Pair> Pairs_;
};

} // namespace review

#endif
