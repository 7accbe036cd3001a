// Opens a new connection for each poll, since an idle one may break unnoticed.
#include "hintpoller.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace dragonflystall {

namespace {

constexpr Duration PollInterval = 1s;
constexpr Duration PollTimeout = 500ms;

nlohmann::json getJson(httplib::Client &Client, const char *Path) {
  const httplib::Result Result = Client.Get(Path);
  if (!Result || Result->status != 200)
    return nullptr;
  return nlohmann::json::parse(Result->body, nullptr, false);
}

template <typename T>
T field(const nlohmann::json &Object, const char *Name, T Default) {
  if (!Object.is_object() || !Object.contains(Name))
    return Default;
  const nlohmann::json &Value = Object[Name];
  if constexpr (std::is_same_v<T, bool>)
    return Value.is_boolean() ? Value.get<bool>() : Default;
  else
    return Value.is_number_unsigned() ? Value.get<T>() : Default;
}

} // namespace

HintPoller::HintPoller(Endpoint Upstream,
                       std::function<void(UpstreamHint)> OnHint)
    : Upstream_(Upstream), OnHint_(std::move(OnHint)),
      Thread_([this] { poll(); }) {}

HintPoller::~HintPoller() {
  {
    const std::lock_guard Lock(Mutex_);
    Stopping_ = true;
  }
  Stop_.notify_all();
  Thread_.join();
}

void HintPoller::poll() {
  std::unique_lock Lock(Mutex_);
  while (!Stopping_) {
    Lock.unlock();
    const UpstreamHint Hint = fetchHint();
    if (OnHint_)
      OnHint_(Hint);
    Lock.lock();
    Stop_.wait_for(Lock, PollInterval, [this] { return Stopping_; });
  }
}

UpstreamHint HintPoller::fetchHint() const {
  httplib::Client Client(ipText(Upstream_.Ip), Upstream_.Port);
  Client.set_connection_timeout(PollTimeout);
  Client.set_read_timeout(PollTimeout);
  const nlohmann::json Health = getJson(Client, "/health");
  const nlohmann::json Load = getJson(Client, "/load");
  UpstreamHint Hint;
  Hint.Healthy = field(Health, "healthy", false);
  Hint.Draining = field(Health, "draining", false);
  Hint.Load = field<uint32_t>(Load, "percent", 0);
  return Hint;
}

} // namespace dragonflystall
