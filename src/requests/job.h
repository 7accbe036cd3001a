// A request that was accepted and is not answered yet.
#ifndef DRAGONFLYSTALL_SRC_REQUESTS_JOB_H
#define DRAGONFLYSTALL_SRC_REQUESTS_JOB_H

#include "answer.h"
#include "downloads.h"
#include "ticket.h"

#include <vector>

namespace dragonflystall {

/// Where an answer goes: one message of the caller that waits for it.
struct ReplyTo {
  PacketHeader Header;
  MessageType Type = MessageType::Confirmable;
  uint16_t MessageId = 0;
  dragonflystall::Token Token;
  DownloadKey Asked;           ///< What it asks for.
  std::optional<Block> Block1; ///< Of the message; repeated in the answer.
  std::optional<Block> Block2; ///< The size of block that the caller wants.
  TimePoint At;
  /// An empty acknowledgement was sent: the answer is a message of its own.
  bool Acknowledged = false;
};

/// The agent that spilled the request here.
struct SpillOrigin {
  AgentRef Issuer;
  Endpoint Control;
  uint64_t SpillId = 0;
};

/// What is to be run, whoever asked for it.
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
  /// The ticket that was used for it; non-idempotent requests only.
  std::optional<Ticket> UsedTicket;
  /// Exactly one of these is set: the callers' messages, or the peer.
  std::vector<ReplyTo> Callers;
  std::optional<SpillOrigin> Origin;
  JobPhase Phase = JobPhase::New;
  RunId Run = RunId::None;     ///< While running.
  uint64_t SpillId = 0;        ///< While spilled.
  bool TriedElsewhere = false; ///< It is spilled once only.
  bool Cancelled = false;
};

/// One execution at the upstream. It may outlive its job.
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
