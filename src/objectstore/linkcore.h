// Logic of a process's connection to the platform: which calls to make and
// when, how to process the answers, and when to replace a connection. No I/O;
// the same events, times and seed give the same actions.
#ifndef DRAGONFLYSTALL_SRC_OBJECTSTORE_LINKCORE_H
#define DRAGONFLYSTALL_SRC_OBJECTSTORE_LINKCORE_H

#include "dragonflystall/agentcore.h"
#include "objectstore/objectwrite.h"
#include "objectstore/pacing.h"
#include "objectstore/store.h"

#include <list>
#include <map>
#include <variant>

namespace dragonflystall {

/// Each channel has its own connection, with at most one call at a time.
enum class LinkChannel : uint8_t { Settings, Rosters, Calls };

constexpr std::array<std::string_view, 3> LinkChannelNames = {
    "settings", "rosters", "calls"};
constexpr std::string_view name(LinkChannel C) {
  return LinkChannelNames[static_cast<size_t>(C)];
}

/// The answer to the LinkCall with the same number.
struct LinkAnswer {
  uint64_t Number = 0;
  StoreAnswer Answer;
};
/// Starts to watch a roster, or reports a newer version of it.
struct LinkWatchRoster {
  std::string Team;
  std::string Name;
  /// A version that is known to exist; 0 if none is known.
  uint64_t KnownVersion = 0;
};
/// Whether this process watches the platform or gets changes from its peers
/// (WatchDuty).
struct LinkSetWatching {
  bool Enabled = true;
};
/// To be passed at nextTick() or soon after.
struct LinkTick {};
using LinkEvent = std::variant<LinkAnswer, LinkWatchRoster, UpdateRoster,
                               LinkSetWatching, LinkTick>;

/// Requests a call on the channel's connection to the given address.
struct LinkCall {
  uint64_t Number = 0;
  LinkChannel Channel = LinkChannel::Calls;
  size_t Platform = 0; ///< Index of the platform address.
  StoreCall Call;
};
/// Cancels the channel's call and closes its connection.
struct LinkAbandon {
  LinkChannel Channel = LinkChannel::Calls;
};
/// Objects under settings/ as received, which may be older than those received
/// before.
struct LinkSettings {
  std::vector<StoredObject> Objects;
};
using LinkAction = std::variant<LinkCall, LinkAbandon, LinkSettings, Roster,
                                RosterWritten, Event>;
using LinkActions = std::vector<LinkAction>;

/// How long the platform may delay the answer to a watch. A connection without
/// an answer for CallTimeout beyond that is replaced. The sum bounds the delay
/// of a change if all connections fail silently; it must stay below the ten
/// seconds within which a change has to be in force everywhere.
constexpr Duration WatchWait = 5s;
/// Timeout of a call, in addition to the wait time of a watch.
constexpr Duration CallTimeout = 2s;
/// A process that does not watch reads the changed settings once per this
/// period, plus up to half of it at random, in case its peers missed a change
/// too.
constexpr Duration UnwatchedReadPeriod = 10min;
/// Rate limit of the calls of one process to the platform, including watches.
constexpr uint32_t CallsPerSecond = 4;
constexpr uint32_t CallBurst = 20;
/// A roster write without a clear answer after this time is reported as
/// RosterWritten::Result::Unknown.
constexpr Duration RosterWriteTimeout = 15s;
/// Minimum time between two reads of a roster. It doubles up to MaxRereadPause
/// while the platform does not return the version that is known to exist.
constexpr Duration RereadPause = 500ms;
constexpr Duration MaxRereadPause = 16s;
/// A process with more rosters than this reads them on demand and does not
/// watch any.
constexpr size_t MaxWatchedRosters = 64;

class LinkCore {
public:
  struct Config {
    size_t Platforms = 1; ///< Number of platform addresses.
    std::string Writer;   ///< Process name, part of the writer marks.
    uint64_t Seed = 0;
  };

  explicit LinkCore(Config Settings);

  void handle(const LinkEvent &Input, TimePoint Now, LinkActions &Out);
  /// The next time at which a LinkTick is needed.
  TimePoint nextTick() const;
  /// True after two failed calls in a row, until a call succeeds.
  bool isDown() const { return Down_; }
  uint64_t calls() const { return CallCount_; }

private:
  /// One connection. Invariant: Outstanding is the number of the call in
  /// progress, 0 if there is none.
  struct Channel {
    uint64_t Outstanding = 0;
    StoreCall Call;
    TimePoint Deadline{};
    TimePoint NotBefore{};
    uint32_t Failures = 0;
    size_t Platform = 0;
  };
  struct WatchedRoster {
    std::string Team;
    std::string Name;
    uint64_t KnownVersion = 0;
    /// The version delivered last; unset until the first answer.
    std::optional<uint64_t> Delivered;
    TimePoint NextRead{};
    Duration Pause = RereadPause;
    bool isStale() const { return !Delivered || *Delivered < KnownVersion; }
  };

  struct RosterWrite {
    UpdateRoster Update;
    ObjectWrite Steps;
  };

  void on(const LinkAnswer &Received, TimePoint Now, LinkActions &Out);
  void on(const LinkWatchRoster &Request, TimePoint Now, LinkActions &Out);
  void on(const UpdateRoster &Update, TimePoint Now, LinkActions &Out);
  void on(const LinkSetWatching &Request, TimePoint Now, LinkActions &Out);
  void on(const LinkTick &Tick, TimePoint Now, LinkActions &Out);

  Channel &channel(LinkChannel Id);
  void startCalls(TimePoint Now, LinkActions &Out);
  std::optional<StoreCall> dueCall(LinkChannel Id, TimePoint Now) const;
  std::optional<StoreCall> dueRead(TimePoint Now) const;
  std::optional<std::string> rosterWatchPrefix() const;
  void updateRosterWatch(LinkActions &Out);
  void startCall(LinkChannel Id, StoreCall Call, TimePoint Now,
                 LinkActions &Out);
  void expire(TimePoint Now, LinkActions &Out);
  void onAnswer(LinkChannel Id, const StoreAnswer &Answer, TimePoint Now,
                LinkActions &Out);
  void setNextCallTime(Channel &C, const StoreAnswer &Answer, TimePoint Now);
  void updateReachability(const StoreAnswer &Answer, LinkActions &Out);
  /// Whether the answer to a watch names an older revision than the watch began
  /// from: the platform has come back from an older copy of itself and gives
  /// versions out again, so that a watch from there skips changes. Reports it.
  static bool hasGoneBack(const StoreCall &Watch, const StoreAnswer &Answer,
                          LinkActions &Out);
  void onSettings(const StoreCall &Watch, const StoreAnswer &Answer,
                  TimePoint Now, LinkActions &Out);
  void abandon(LinkChannel Id, LinkActions &Out);
  void onRosters(const StoreCall &Watch, const StoreAnswer &Answer,
                 LinkActions &Out);
  void onRead(const std::string &Key, const StoreAnswer &Answer, TimePoint Now,
              LinkActions &Out);
  static RosterWritten resultOf(const RosterWrite &Write, WriteResult Result);
  void onWrite(const StoreAnswer &Answer, TimePoint Now, LinkActions &Out);
  void deliver(WatchedRoster &Watched, const StoredObject &Object,
               LinkActions &Out);
  TimePoint nextWork(LinkChannel Id) const;
  TimePoint nextRead() const;

  Config Config_;
  Random Random_;
  CallBudget Budget_{CallsPerSecond, CallBurst};
  std::array<Channel, LinkChannelNames.size()> Channels_;
  /// Ordered by key, so that runs are reproducible.
  std::map<std::string, WatchedRoster> WatchedRosters_;
  std::list<RosterWrite> Writes_;
  /// True if the call on LinkChannel::Calls belongs to Writes_.front().
  bool Writing_ = false;
  /// Revisions up to which all changes have been received; 0 to receive all
  /// objects again, after the platform's revision went back.
  uint64_t SettingsRevision_ = 0;
  uint64_t RostersRevision_ = 0;
  bool HasSettings_ = false;
  bool Watching_ = true;
  uint64_t LastNumber_ = 0;
  uint64_t WriteCount_ = 0;
  uint64_t Session_ = 0;
  uint64_t CallCount_ = 0;
  uint32_t FailuresInRow_ = 0;
  bool Down_ = false;
};

} // namespace dragonflystall

#endif
