// Sockets on loopback.
#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <optional>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr size_t ReadBytes = 65536;
constexpr int ListenQueue = 128;

sockaddr_in toSockaddr(Address A) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_addr.s_addr = htonl(A.Ip);
  Result.sin_port = htons(A.Port);
  return Result;
}

int bound(int Type, Address Local) {
  const int Socket = ::socket(AF_INET, Type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int On = 1;
  if (Type == SOCK_STREAM)
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const sockaddr_in Name = toSockaddr(Local);
  if (Socket < 0 || ::bind(Socket, reinterpret_cast<const sockaddr *>(&Name),
                           sizeof Name) != 0) {
    ::close(Socket);
    throw std::runtime_error(toString(Local) + ": cannot bind");
  }
  return Socket;
}

/// Removes a complete message from the front of the buffer.
std::optional<HttpMessage> takeMessage(std::string &Buffer) {
  const size_t HeadEnd = Buffer.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return std::nullopt;
  std::string Head = Buffer.substr(0, HeadEnd);
  std::string Lower = Head;
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  size_t BodyBytes = 0;
  const std::string LengthHeader = "\r\ncontent-length:";
  if (const size_t At = Lower.find(LengthHeader); At != std::string::npos)
    BodyBytes = std::stoul(Lower.substr(At + LengthHeader.size()));
  if (Buffer.size() < HeadEnd + 4 + BodyBytes)
    return std::nullopt;
  HttpMessage Message;
  Message.Body = Buffer.substr(HeadEnd + 4, BodyBytes);
  Buffer.erase(0, HeadEnd + 4 + BodyBytes);
  const std::string Line = Head.substr(0, Head.find("\r\n"));
  const size_t Space = Line.find(' ');
  const std::string First = Line.substr(0, Space);
  const std::string Rest = Line.substr(Space + 1);
  if (First.starts_with("HTTP/")) {
    Message.Status = std::stoi(Rest);
    return Message;
  }
  Message.Method = First;
  const std::string Target = Rest.substr(0, Rest.find(' '));
  const size_t Mark = Target.find('?');
  Message.Path = Target.substr(0, Mark);
  if (Mark != std::string::npos)
    Message.Query = Target.substr(Mark + 1);
  return Message;
}

} // namespace

std::string ipText(uint32_t Ip) {
  return std::to_string(Ip >> 24) + "." + std::to_string(Ip >> 16 & 255) + "." +
         std::to_string(Ip >> 8 & 255) + "." + std::to_string(Ip & 255);
}

std::string toString(Address A) {
  return ipText(A.Ip) + ":" + std::to_string(A.Port);
}

std::string parameter(const std::string &Query, const std::string &Key) {
  const std::string Fields = "&" + Query;
  const size_t At = Fields.find("&" + Key + "=");
  if (At == std::string::npos)
    return {};
  const size_t Begin = At + Key.size() + 2;
  return Fields.substr(Begin, Fields.find('&', Begin) - Begin);
}

Udp::Udp(Loop &Events, Address Local, Receiver OnDatagram)
    : Events_(Events), Socket_(bound(SOCK_DGRAM, Local)),
      OnDatagram_(std::move(OnDatagram)) {
  Events_.watch(Socket_, [this] { receive(); });
}

Udp::~Udp() {
  Events_.unwatch(Socket_);
  ::close(Socket_);
}

void Udp::send(Address To, std::string_view Bytes) const {
  const sockaddr_in Name = toSockaddr(To);
  ::sendto(Socket_, Bytes.data(), Bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr *>(&Name), sizeof Name);
}

void Udp::receive() {
  std::array<char, ReadBytes> Buffer;
  sockaddr_in From{};
  socklen_t FromBytes = sizeof From;
  const ssize_t Bytes =
      ::recvfrom(Socket_, Buffer.data(), Buffer.size(), MSG_DONTWAIT,
                 reinterpret_cast<sockaddr *>(&From), &FromBytes);
  if (Bytes >= 0)
    OnDatagram_({ntohl(From.sin_addr.s_addr), ntohs(From.sin_port)},
                {Buffer.data(), static_cast<size_t>(Bytes)});
}

struct HttpServer::Connection {
  int Socket = -1;
  std::string Input;
  std::string Output;
};

HttpServer::HttpServer(Loop &Events, Address Local, Handler OnRequest,
                       std::string ExtraHeader)
    : Events_(Events), Socket_(bound(SOCK_STREAM, Local)),
      OnRequest_(std::move(OnRequest)), ExtraHeader_(std::move(ExtraHeader)) {
  ::listen(Socket_, ListenQueue);
  Events_.watch(Socket_, [this] { accept(); });
}

HttpServer::~HttpServer() {
  Events_.unwatch(Socket_);
  ::close(Socket_);
  while (!Connections_.empty())
    close(Connections_.begin()->second);
}

void HttpServer::accept() {
  const int Accepted =
      ::accept4(Socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (Accepted < 0)
    return;
  const auto Client = std::make_shared<Connection>();
  Client->Socket = Accepted;
  Connections_[Accepted] = Client;
  Events_.watch(Accepted, [this, Client] { read(Client); });
}

void HttpServer::close(const std::shared_ptr<Connection> &Client) {
  if (Client->Socket < 0)
    return;
  Events_.unwatch(Client->Socket);
  ::close(Client->Socket);
  Connections_.erase(std::exchange(Client->Socket, -1));
}

void HttpServer::read(const std::shared_ptr<Connection> &Client) {
  std::array<char, ReadBytes> Buffer;
  const ssize_t Bytes =
      ::recv(Client->Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
  if (Bytes < 0 && errno == EAGAIN)
    return;
  if (Bytes <= 0)
    return close(Client);
  Client->Input.append(Buffer.data(), Bytes);
  const std::weak_ptr<Connection> Weak = Client;
  while (const auto Request = takeMessage(Client->Input))
    OnRequest_(*Request, [this, Weak](int Status, const std::string &Body) {
      const auto Open = Weak.lock();
      if (!Open || Open->Socket < 0)
        return;
      Open->Output +=
          "HTTP/1.1 " + std::to_string(Status) +
          " -\r\nContent-Type: application/json\r\n" + ExtraHeader_ +
          "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
      write(Open);
    });
}

void HttpServer::write(const std::shared_ptr<Connection> &Client) {
  const ssize_t Bytes = ::send(Client->Socket, Client->Output.data(),
                               Client->Output.size(), MSG_NOSIGNAL);
  if (Bytes < 0 && errno != EAGAIN)
    return close(Client);
  Client->Output.erase(0, std::max<ssize_t>(0, Bytes));
  if (Client->Output.empty())
    Events_.watchWritable(Client->Socket, nullptr);
  else
    Events_.watchWritable(Client->Socket, [this, Client] { write(Client); });
}

namespace {

/// One call of httpCall() in progress.
struct Call : std::enable_shared_from_this<Call> {
  explicit Call(Loop &Events) : Events(Events) {}

  void finish(const HttpMessage &Answer) {
    if (Socket < 0)
      return;
    Events.unwatch(Socket);
    ::close(Socket);
    Socket = -1;
    std::exchange(OnDone, nullptr)(Answer);
  }
  void read() {
    std::array<char, ReadBytes> Buffer;
    const ssize_t Bytes =
        ::recv(Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Bytes < 0 && errno == EAGAIN)
      return;
    if (Bytes <= 0)
      return finish({});
    Input.append(Buffer.data(), Bytes);
    if (const auto Answer = takeMessage(Input))
      finish(*Answer);
  }
  void start(Address Server, Duration Timeout) {
    const sockaddr_in Name = toSockaddr(Server);
    const auto Self = shared_from_this();
    // The result of connect() shows when the request is written.
    static_cast<void>(::connect(
        Socket, reinterpret_cast<const sockaddr *>(&Name), sizeof Name));
    Events.watchWritable(Socket, [Self] {
      Self->Events.watchWritable(Self->Socket, nullptr);
      if (::send(Self->Socket, Self->Request.data(), Self->Request.size(),
                 MSG_NOSIGNAL) < 0)
        Self->finish({});
    });
    Events.watch(Socket, [Self] { Self->read(); });
    Events.after(Timeout, [Self] { Self->finish({}); });
  }

  Loop &Events;
  int Socket = -1;
  std::string Request;
  std::string Input;
  std::function<void(const HttpMessage &)> OnDone;
};

} // namespace

void httpCall(Loop &Events, Address Server, const std::string &Method,
              const std::string &Target, const std::string &Body,
              Duration Timeout,
              std::function<void(const HttpMessage &)> OnDone) {
  const auto New = std::make_shared<Call>(Events);
  New->Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  New->OnDone = std::move(OnDone);
  New->Request = Method + " " + Target +
                 " HTTP/1.1\r\nHost: " + toString(Server) +
                 "\r\nConnection: close\r\nContent-Type: application/json\r\n"
                 "Content-Length: " +
                 std::to_string(Body.size()) + "\r\n\r\n" + Body;
  New->start(Server, Timeout);
}

} // namespace review
