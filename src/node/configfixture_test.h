// A process's view of the configuration and a store on one event loop, for
// tests of ConfigSource.
#ifndef DRAGONFLYSTALL_SRC_NODE_CONFIGFIXTURE_TEST_H
#define DRAGONFLYSTALL_SRC_NODE_CONFIGFIXTURE_TEST_H

#include "node/configsource.h"
#include "platform/standinformats.h"
#include "soak/store.h"

#include <csignal>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dragonflystall::node::test {

using platform::ObjectKind;

constexpr Endpoint StoreAddress = {0x7f000001, 18441};
const Endpoint Route = {0x0a000001, 443};

inline std::string manifest(int64_t Version,
                            const std::string &Service = "desk") {
  opaque::Manifest Manifest;
  Manifest.Version = Version;
  Manifest.Routes[Route] = {{{Service, 1}}, 1s, 1};
  return platform::encodeManifest(Manifest);
}

struct ConfigFixture : testing::Test {
  Services Shared{"test"};
  soak::Store Store{Shared, StoreAddress};
  StoreHealth Health{Shared};
  std::unique_ptr<ConfigSource> Source;
  int EvacuationReports = 0; ///< Calls of Callbacks::OnEvacuations.

  void SetUp() override {
    std::signal(SIGPIPE, SIG_IGN);
    Source = std::make_unique<ConfigSource>(
        Shared, Health,
        ConfigSources{{StoreAddress, 20s, platform::Consistency::Serializable},
                      {}},
        ConfigSource::Callbacks{[] {}, [this] { ++EvacuationReports; }, {}});
  }
  const opaque::Configuration &config() const { return Source->config(); }
  void put(int64_t Version) {
    Store.put(ObjectKind::Manifest, std::string(platform::ManifestName),
              manifest(Version));
  }
  void evacuate(const std::string &Zone) {
    Store.put(ObjectKind::Evacuation, Zone, "{}");
  }
  void pollOnce() {
    const TimePoint Now = Shared.now();
    Source->poll(Now);
    Store.tick(Now);
    constexpr timeval PollInterval = {0, 5000};
    event_base_loopexit(Shared.Base.get(), &PollInterval);
    event_base_dispatch(Shared.Base.get());
  }
  void run(Duration Length) {
    const TimePoint End = Shared.now() + Length;
    while (Shared.now() < End)
      pollOnce();
  }
  /// Returns whether the condition came true within a time in which the process
  /// reaches the store again whatever its backoff.
  template <typename Condition> bool comesTrue(Condition IsTrue) {
    const TimePoint End = Shared.now() + 3s;
    while (!IsTrue() && Shared.now() < End)
      pollOnce();
    return IsTrue();
  }
  bool followsVersion(int64_t Version) {
    return comesTrue([&] { return config().manifest().Version == Version; });
  }
  /// Serves a state as a peer does; the address is for fetches from it.
  static HttpServer::Handler serving(PeerState State) {
    return [State = std::move(State)](const HttpRequest &) {
      return jsonResponse(HttpStatus::Ok, encodePeerState(State));
    };
  }
};

/// Accepts connections and answers nothing, like a process that is frozen.
class SilentServer {
public:
  explicit SilentServer(Endpoint Local)
      : Socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    constexpr int Backlog = 8;
    constexpr int Enabled = 1;
    // Connections of an earlier test may linger at the address.
    ::setsockopt(Socket_, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof Enabled);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(Local.Ip);
    Address.sin_port = htons(Local.Port);
    const auto *Generic = reinterpret_cast<const sockaddr *>(&Address);
    IsListening_ = ::bind(Socket_, Generic, sizeof Address) == 0 &&
                   ::listen(Socket_, Backlog) == 0;
  }
  ~SilentServer() { ::close(Socket_); }
  SilentServer(const SilentServer &) = delete;
  SilentServer &operator=(const SilentServer &) = delete;

  bool isListening() const { return IsListening_; }

private:
  int Socket_;
  bool IsListening_ = false;
};

} // namespace dragonflystall::node::test

#endif
