// A manifest drops one route and adds another, under steady traffic. Judges
// CONFIG: what is sent later than the bound after the acknowledgement.
#ifndef DRAGONFLYSTALL_REVIEW_STANDINS_MANIFESTCHANGE_H
#define DRAGONFLYSTALL_REVIEW_STANDINS_MANIFESTCHANGE_H

#include "deployment.h"

namespace review {

struct ManifestChangePlan {
  size_t Balancers = 0;
  size_t Hosts = 0;
  Duration ChangeAt{};
};

class ManifestChange {
public:
  /// Starts the deployment.
  ManifestChange(Deployment &Given, const ManifestChangePlan &Plan);

  void report();

private:
  Server::Callbacks callbacks();
  void change();
  void call();
  double age(TimePoint Time) const { return seconds(Time - *ChangedAt_); }
  void onRun(const Server &S, const Flow &F, const std::string &Id);
  void onEnd(const Clients::AttemptPtr &A, const std::string &Id);

  Deployment &D_;
  Clients Clients_;
  Address Kept_;
  Address Dropped_;
  Address Added_;
  std::optional<TimePoint> ChangedAt_;
  std::map<Flow, TimePoint> SentAt_;
  size_t Count_ = 0;
  size_t Answered_ = 0;
  size_t LateRuns_ = 0;
  size_t LateRefusals_ = 0;
};

} // namespace review

#endif
