// A proxy on the way from a server to its agent. A cut holds calls up; they
// arrive when it ends, whatever has become of their sender.
#ifndef DRAGONFLYSTALL_REVIEW_STANDINS_RELAY_H
#define DRAGONFLYSTALL_REVIEW_STANDINS_RELAY_H

#include "net.h"

#include <deque>

namespace review {

class Relay {
public:
  Relay(Loop &Events, Address Local, Address Agent);

  /// Holds up the calls that arrive from now on.
  void cut() { IsCut_ = true; }
  /// Lets calls pass again, but not yet those that are held up.
  void pass() { IsCut_ = false; }
  /// Delivers the calls that are held up, in their order. Calls OnDone with the
  /// status of each answer.
  void deliver(const std::function<void(int Status)> &OnDone);
  size_t held() const { return Held_.size(); }

private:
  struct Call {
    HttpMessage Request;
    HttpServer::Reply Answer;
  };
  void forward(const Call &C, std::function<void(int Status)> OnDone);

  Loop &Events_;
  Address Agent_;
  bool IsCut_ = false;
  std::deque<Call> Held_;
  HttpServer Server_;
};

} // namespace review

#endif
