// Traffic on three routes and the judgement of CONFIG.
#include "manifestchange.h"

namespace review {

namespace {

/// All machines start within 0.3 s of each other.
constexpr Duration StartInterval = 37ms;
constexpr Duration FlowInterval = 20ms;
constexpr Duration TimeLimit = 1s;

} // namespace

ManifestChange::ManifestChange(Deployment &Given,
                               const ManifestChangePlan &Plan)
    : D_(Given),
      Clients_(D_.Events, D_.Fabric, D_.address(9, 1, 8172), TimeLimit) {
  Kept_ = D_.address(8, 1, 443);
  Dropped_ = D_.address(8, 2, 443);
  Added_ = D_.address(8, 3, 443);
  D_.Routes = {{"r-kept", {Kept_, "desk"}}, {"r-dropped", {Dropped_, "desk"}}};
  D_.publish();
  for (size_t I = 0; I < Plan.Balancers; ++I)
    D_.Events.after(I * StartInterval, [this] { D_.addBalancer(); });
  for (size_t I = 0; I < Plan.Hosts; ++I) {
    Host &H = D_.addHost("desk", callbacks());
    H.Server->start(D_.newIdentity(H));
  }
  D_.Events.after(Plan.ChangeAt, [this] {
    if (!D_.Fabric.allReady() || Answered_ == 0)
      D_.Failure = "the deployment does not serve";
    change();
  });
  D_.Events.every(FlowInterval, [this] {
    call();
    return true;
  });
}

void ManifestChange::report() {
  for (const std::string &Note : Clients_.Notes)
    D_.Log.violation("MIXED", Note);
  D_.Log.line("answered " + std::to_string(Answered_) +
              "; too late: run on the dropped route " +
              std::to_string(LateRuns_) + ", refused on the added route " +
              std::to_string(LateRefusals_));
}

Server::Callbacks ManifestChange::callbacks() {
  return {[](const Server &, const Flow &) {},
          [](const Server &, const Flow &) {},
          [this](const Server &S, const Flow &F, const std::string &Id) {
            onRun(S, F, Id);
          },
          [](const Server &, const Flow &) {},
          [this](const Server &S, const std::string &What) {
            D_.Log.line(S.identity().Id + " " + What);
          }};
}

void ManifestChange::change() {
  D_.Routes.erase("r-dropped");
  D_.Routes["r-added"] = {Added_, "desk"};
  D_.publish();
  ChangedAt_ = now();
}

void ManifestChange::call() {
  if (!D_.Fabric.balancerOf({}))
    return;
  const std::array<Address, 3> Targets = {Kept_, Dropped_, Added_};
  const Address Target = Targets[Count_++ % Targets.size()];
  if (Target == Added_ && !ChangedAt_)
    return;
  const std::string Id = "q-" + std::to_string(Count_);
  const auto Opened =
      Clients_.open(Target, [this, Id](const Clients::AttemptPtr &A) {
        if (A->State == Clients::Phase::Open && A->Answers == 0)
          Clients_.request(A, Id);
        else if (A->State == Clients::Phase::Open)
          Clients_.close(A);
        else if (A->State == Clients::Phase::Closed)
          onEnd(A, Id);
      });
  SentAt_[Opened->Flow] = Opened->SentAt;
}

void ManifestChange::onRun(const Server &S, const Flow &F,
                           const std::string &Id) {
  const auto Sent = SentAt_.find(F);
  if (F.Route != Dropped_ || !ChangedAt_ || Sent == SentAt_.end() ||
      Sent->second <= *ChangedAt_ + ConfigApplyBound)
    return;
  ++LateRuns_;
  D_.Log.violation("CONFIG", Id + " of " + toString(F) + ", sent " +
                                 std::to_string(age(Sent->second)) +
                                 " s after the acknowledgement, is run by " +
                                 S.identity().Id + " with the dropped route");
}

void ManifestChange::onEnd(const Clients::AttemptPtr &A,
                           const std::string &Id) {
  SentAt_.erase(A->Flow);
  Answered_ += A->Answers;
  if (A->Flow.Route != Added_ || A->Result != Clients::End::Refused ||
      A->SentAt <= *ChangedAt_ + ConfigApplyBound)
    return;
  ++LateRefusals_;
  D_.Log.violation("CONFIG", Id + " of " + toString(A->Flow) + ", sent " +
                                 std::to_string(age(A->SentAt)) +
                                 " s after the acknowledgement, is reset "
                                 "though its route is there");
}

} // namespace review
