// Addresses, UDP sockets, and a small HTTP/1.1 server and client on loopback.
#ifndef DRAGONFLYSTALL_REVIEW_STANDINS_NET_H
#define DRAGONFLYSTALL_REVIEW_STANDINS_NET_H

#include "loop.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace review {

struct Address {
  uint32_t Ip = 0; ///< In host byte order.
  uint16_t Port = 0;
  friend auto operator<=>(const Address &, const Address &) = default;
};

std::string ipText(uint32_t Ip);
std::string toString(Address A);

/// A bound UDP socket. Throws std::runtime_error if the address is in use.
class Udp {
public:
  using Receiver = std::function<void(Address From, std::string_view Bytes)>;

  Udp(Loop &Events, Address Local, Receiver OnDatagram);
  ~Udp();
  Udp(const Udp &) = delete;
  Udp &operator=(const Udp &) = delete;
  void send(Address To, std::string_view Bytes) const;

private:
  void receive();

  Loop &Events_;
  int Socket_;
  Receiver OnDatagram_;
};

struct HttpMessage {
  std::string Method; ///< Of a request.
  std::string Path;   ///< Of a request, without the query.
  std::string Query;  ///< Of a request.
  int Status = 0;     ///< Of an answer; 0 if there was none.
  std::string Body;
};

/// The value of a parameter in a query; empty when it is missing.
std::string parameter(const std::string &Query, const std::string &Key);

/// Serves one listening address. Each request is answered by calling its Reply,
/// at once or later; Reply does nothing after its connection was closed. Each
/// further call of it sends another copy.
class HttpServer {
public:
  using Reply = std::function<void(int Status, const std::string &Body)>;
  using Handler = std::function<void(const HttpMessage &Request, Reply Answer)>;

  HttpServer(Loop &Events, Address Local, Handler OnRequest,
             std::string ExtraHeader = "");
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

private:
  struct Connection;

  void accept();
  void read(const std::shared_ptr<Connection> &Client);
  void close(const std::shared_ptr<Connection> &Client);
  void write(const std::shared_ptr<Connection> &Client);

  Loop &Events_;
  int Socket_;
  Handler OnRequest_;
  std::string ExtraHeader_;
  std::map<int, std::shared_ptr<Connection>> Connections_;
};

/// Sends one request on a new connection. OnDone gets an answer with status 0
/// if none arrives within Timeout.
void httpCall(Loop &Events, Address Server, const std::string &Method,
              const std::string &Target, const std::string &Body,
              Duration Timeout,
              std::function<void(const HttpMessage &)> OnDone);

} // namespace review

#endif
