// Requests that were accepted and are not answered yet, and their executions.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_JOB_H
#define DRAGONFLYSTALL_SRC_REQUESTS_JOB_H

#include "answer.h"
#include "downloads.h"
#include "ticket.h"

#include <vector>

namespace dragonflystall {

/// The destination of an answer: one request message of a caller.
struct ReplyTo {
  PacketHeader Header;
  MessageType Type = MessageType::Confirmable;
  uint16_t MessageId = 0;
  dragonflystall::Token Token;
  DownloadKey Resource;        ///< The resource that the message requests.
  std::optional<Block> Block1; ///< From the message; repeated in the answer.
  std::optional<Block> Block2; ///< The block size that the caller prefers.
  TimePoint ReceivedAt;
  /// An empty acknowledgement was sent, so the answer is sent as a separate
  /// message.
  bool Acknowledged = false;
};

/// The agent that spilled the request to this one.
struct SpillOrigin {
  AgentRef Issuer;
  Endpoint Control;
  uint64_t SpillId = 0;
};

/// The request to execute, independent of whether a caller or a peer sent it.
struct Work {
  FlowKey Flow;
  Code Method = Code::Get;
  std::string Path;
  std::string Query;
  std::string Body;
  std::optional<uint16_t> ContentFormat;
  TimePoint Deadline;
};

enum class JobPhase : uint8_t { New, Queued, Running, Spilled };

struct Job {
  uint64_t Id = 0;
  dragonflystall::Work Work;
  /// The ticket that the request used; non-idempotent requests only.
  std::optional<Ticket> UsedTicket;
  /// Either Callers (the messages to answer) or Origin (the peer that spilled
  /// the request) is set, never both.
  std::vector<ReplyTo> Callers;
  std::optional<SpillOrigin> Origin;
  JobPhase Phase = JobPhase::New;
  RunId Run = RunId::None; ///< While running.
  uint64_t SpillId = 0;    ///< While spilled.
  /// A job is spilled or hedged at most once.
  bool HasBeenSpilled = false;
  /// While a hedge is not answered: its spill id. Invariant: the job is
  /// running, or has become Spilled with the same id.
  uint64_t HedgeId = 0;
  bool WasHedgeRefused = false;
  /// An execution ended without evidence that it did not run. Another one may
  /// follow or be in progress.
  bool MayHaveRun = false;
  bool Cancelled = false;
};

/// One execution at the upstream. It may end after its job was answered.
struct Run {
  uint64_t Job = 0;
  FlowKey Flow;
  Code Method = Code::Get;
  std::optional<Ticket> UsedTicket;
  TimePoint Started;
  TimePoint Deadline;
  uint32_t Concurrency = 0;
  bool Cancelled = false;
};

} // namespace dragonflystall

#endif
