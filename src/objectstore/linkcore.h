// The decisions of a process's connection to the platform: what to call when,
// what to make of the answers, when to give a connection up. No I/O; the same
// events, times and seed give the same actions.
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

/// Calls that go over connections of their own, one at a time on each.
enum class LinkChannel : uint8_t { Settings, Rosters, Calls };

constexpr std::array<std::string_view, 3> LinkChannelNames = {
    "settings", "rosters", "calls"};
constexpr std::string_view name(LinkChannel C) {
  return LinkChannelNames[static_cast<size_t>(C)];
}

/// The answer to a LinkCall of the same number.
struct LinkAnswered {
  uint64_t Number = 0;
  StoreAnswer Answer;
};
struct LinkWantRoster {
  std::string Team;
  std::string Name;
  /// A version that is known to exist; 0 when none is.
  uint64_t KnownVersion = 0;
};
/// Whether this process watches or learns from its peers (WatchDuty).
struct LinkSetWatching {
  bool On = true;
};
/// Comes at nextTick() or soon after.
struct LinkTick {};
using LinkEvent = std::variant<LinkAnswered, LinkWantRoster, UpdateRoster,
                               LinkSetWatching, LinkTick>;

/// Make the call on the channel's connection to the platform's address.
struct LinkCall {
  uint64_t Number = 0;
  LinkChannel Channel = LinkChannel::Calls;
  size_t Platform = 0; ///< Index of the address.
  StoreCall Call;
};
/// Nothing more is awaited from the channel's call: drop its connection.
struct LinkAbandon {
  LinkChannel Channel = LinkChannel::Calls;
};
/// Objects under settings/ as they came, older ones included.
struct LinkSettings {
  std::vector<StoredObject> Objects;
};
using LinkAction = std::variant<LinkCall, LinkAbandon, LinkSettings, Roster,
                                RosterWritten, Event>;
using LinkActions = std::vector<LinkAction>;

/// How long the platform holds a watch, and how long after that a connection
/// counts as silent. Together they bound how late a change comes when all
/// connections went silent, which has to stay below the ten seconds in which a
/// change is to be in force everywhere.
constexpr Duration WatchWait = 5s;
constexpr Duration CallTimeout = 2s;
/// A process that does not watch asks so often what has changed, up to half
/// as long again at random, in case its peers know no better.
constexpr Duration BackstopPeriod = 10min;
/// Calls of one process on the platform, watches counted.
constexpr uint32_t CallsPerSecond = 4;
constexpr uint32_t CallBurst = 20;
/// A roster write that got no clear answer for so long is reported as such.
constexpr Duration WriteGiveUp = 15s;
/// A roster that was just read is not read again within this time, which
/// doubles while the platform does not have the version that is known to exist.
constexpr Duration RereadPause = 500ms;
constexpr Duration MaxRereadPause = 16s;
/// Beyond so many rosters a process reads them on demand and watches none.
constexpr size_t MaxWatchedRosters = 64;

class LinkCore {
public:
  struct Config {
    size_t Platforms = 1; ///< Addresses of the platform.
    std::string Writer;   ///< The process's name, for the marks of writes.
    uint64_t Seed = 0;
  };

  explicit LinkCore(Config Settings);

  void handle(const LinkEvent &What, TimePoint Now, LinkActions &Out);
  /// When a LinkTick has work next.
  TimePoint nextTick() const;
  /// True while the last calls failed.
  bool isDown() const { return Down_; }
  uint64_t calls() const { return Calls_; }

private:
  /// One connection. Invariant: Outstanding is the number of the one call on
  /// it, 0 when there is none.
  struct Channel {
    uint64_t Outstanding = 0;
    StoreCall Call;
    TimePoint Deadline{};
    TimePoint NotBefore{};
    uint32_t Failures = 0;
    size_t Platform = 0;
  };
  struct WantedRoster {
    std::string Team;
    std::string Name;
    uint64_t KnownVersion = 0;
    /// Unset until the first answer.
    std::optional<uint64_t> Delivered;
    TimePoint NextRead{};
    Duration Pause = RereadPause;
    bool stale() const { return !Delivered || *Delivered < KnownVersion; }
  };

  struct RosterWrite {
    UpdateRoster Update;
    ObjectWrite Steps;
  };

  void on(const LinkAnswered &What, TimePoint Now, LinkActions &Out);
  void on(const LinkWantRoster &What, TimePoint Now, LinkActions &Out);
  void on(const UpdateRoster &What, TimePoint Now, LinkActions &Out);
  void on(const LinkSetWatching &What, TimePoint Now, LinkActions &Out);
  void on(const LinkTick &What, TimePoint Now, LinkActions &Out);

  Channel &channel(LinkChannel Which);
  void startCalls(TimePoint Now, LinkActions &Out);
  std::optional<StoreCall> wantedCall(LinkChannel Which, TimePoint Now) const;
  std::optional<StoreCall> wantedRead(TimePoint Now) const;
  std::optional<std::string> rosterScope() const;
  void rescopeWatch(LinkActions &Out);
  void startCall(LinkChannel Which, StoreCall Call, TimePoint Now,
                 LinkActions &Out);
  void expire(TimePoint Now, LinkActions &Out);
  void onAnswer(LinkChannel Which, const StoreAnswer &Answer, TimePoint Now,
                LinkActions &Out);
  void pace(Channel &C, const StoreAnswer &Answer, TimePoint Now);
  void noteReachable(const StoreAnswer &Answer, LinkActions &Out);
  void onSettings(const StoreAnswer &Answer, TimePoint Now, LinkActions &Out);
  void abandon(LinkChannel Which, LinkActions &Out);
  void onRosters(const StoreAnswer &Answer, LinkActions &Out);
  void onRead(const std::string &Key, const StoreAnswer &Answer, TimePoint Now,
              LinkActions &Out);
  static RosterWritten resultOf(const RosterWrite &Write, WriteResult Result);
  void onWrite(const StoreAnswer &Answer, TimePoint Now, LinkActions &Out);
  void deliver(WantedRoster &Wanted, const StoredObject &Object,
               LinkActions &Out);
  TimePoint nextWork(LinkChannel Which) const;
  TimePoint nextRead() const;

  Config Config_;
  Random Random_;
  CallBudget Budget_{CallsPerSecond, CallBurst};
  std::array<Channel, LinkChannelNames.size()> Channels_;
  /// By key, and so in a fixed order.
  std::map<std::string, WantedRoster> Wanted_;
  std::list<RosterWrite> Writes_;
  /// True while the call on LinkChannel::Calls belongs to Writes_.front().
  bool Writing_ = false;
  /// Revisions up to which the watches are complete; they never fall.
  uint64_t SettingsSince_ = 0;
  uint64_t RostersSince_ = 0;
  bool SettingsKnown_ = false;
  bool Watching_ = true;
  uint64_t LastNumber_ = 0;
  uint64_t Marks_ = 0;
  uint64_t Session_ = 0;
  uint64_t Calls_ = 0;
  uint32_t FailuresInRow_ = 0;
  bool Down_ = false;
};

} // namespace dragonflystall

#endif
