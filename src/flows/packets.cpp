// The data path: admission and routing of packets.
#include "state.h"

#include "requests/reply.h"
#include "wire/convert.h"

#include <algorithm>

namespace dragonflystall {

// Accepts a packet if its sender is a process of the deployment in a zone that
// is not out, and if the packet is for this service at one of the service's
// addresses; drops all others.
bool Flows::State::admits(const AgentPacket &Packet, FlowsOutput &Out) {
  const ServiceSettings *Service = Context.serviceSettings();
  if (!Service) {
    drop(Packet, "no settings for this service", Out);
    return false;
  }
  if (Context.ownZoneOut() || !Context.isTrustedSender(Packet.From.Ip)) {
    drop(Packet, "zone is out or sender unknown", Out);
    return false;
  }
  const PacketHeader &Header = Packet.Header;
  if (Header.Kind == PacketKind::Probe)
    return Header.Service == Context.Service;
  const auto &Addresses = Service->Addresses;
  if (Header.Kind != PacketKind::Request || Header.Service != Context.Service ||
      std::find(Addresses.begin(), Addresses.end(), Header.ServiceAddress) ==
          Addresses.end()) {
    drop(Packet, "not a request for this service and address", Out);
    return false;
  }
  return true;
}

void Flows::State::answerProbe(const AgentPacket &Packet, FlowsOutput &Out) {
  PacketHeader Reply = Packet.Header;
  Reply.Kind = PacketKind::ProbeReply;
  Reply.RosterVersion = ServicePeers.roster().Version;
  Reply.Holder = Context.self().Id;
  Out.Actions.push_back(SendDatagram{Packet.From, Reply, Packet.Payload});
}

void Flows::State::onRequest(AgentPacket Packet, TimePoint Now,
                             FlowsOutput &Out) {
  if (HeldFlow *Flow = Held.find(Packet.Header.Caller)) {
    deliver(std::move(Packet), *Flow, Now, Out);
    return;
  }
  if (forwardMoved(Packet, Out))
    return;
  if (Packet.Header.Placed)
    onPlaced(std::move(Packet), Now, Out);
  else
    sendToHome(std::move(Packet), Now, Out);
}

void Flows::State::deliver(AgentPacket Packet, HeldFlow &Flow, TimePoint Now,
                           FlowsOutput &Out) {
  Flow.LastUsed = Now;
  if (Flow.Batch == 0) {
    Out.Deliver.push_back(std::move(Packet));
    return;
  }
  if (!park(Packet, HandOvers.at(Flow.Batch).Parked))
    drop(Packet, "too many parked packets", Out);
}

bool Flows::State::forwardMoved(AgentPacket &Packet, FlowsOutput &Out) {
  const MovedFlow *MovedTo = Moved.find(Packet.Header.Caller);
  if (!MovedTo)
    return false;
  const Peer *Successor = ServicePeers.findUsable(MovedTo->Successor);
  if (!Successor) {
    Moved.erase(Packet.Header.Caller);
    return false;
  }
  // Not marked as placed, because the successor may have lost the flow to
  // another agent since.
  forward(std::move(Packet), *Successor, false, Out);
  return true;
}

// A packet marked as placed also arrives at the home that sent it, when the
// holder refused it.
void Flows::State::onPlaced(AgentPacket Packet, TimePoint Now,
                            FlowsOutput &Out) {
  const Endpoint Caller = Packet.Header.Caller;
  const DirectoryEntry *Entry = HolderDirectory.find(Caller);
  const Peer *Home = ServicePeers.homeOf(Caller);
  const bool PlacedElsewhere = Home && Home->Self && Entry &&
                               Entry->HolderClaim.Holder != Context.self();
  if (Packet.Header.Holder != Context.self().Id || PlacedElsewhere) {
    sendToHome(std::move(Packet), Now, Out);
    return;
  }
  if (canAccept(Caller)) {
    accept(std::move(Packet), Now, Out);
    return;
  }
  Out.Actions.emplace_back(flowEvent(EventKind::FlowRefused,
                                     Context.flow(Caller), Context.self().Id));
  const Peer *Placer = ServicePeers.findByDataAddress(Packet.From);
  if (Placer && !Placer->Self)
    returnToPlacer(std::move(Packet), *Placer, Out);
  else
    sendToHome(std::move(Packet), Now, Out);
}

void Flows::State::returnToPlacer(AgentPacket Packet, const Peer &Placer,
                                  FlowsOutput &Out) {
  forward(std::move(Packet), Placer, true, Out);
  if (auto *Sent = std::get_if<SendDatagram>(&Out.Actions.back()))
    Sent->Header.Holder = Context.self().Id;
}

void Flows::State::sendToHome(AgentPacket Packet, TimePoint Now,
                              FlowsOutput &Out) {
  const Peer *Home = ServicePeers.homeOf(Packet.Header.Caller);
  if (!Home)
    refuse(Packet, Out);
  else if (Home->Self)
    routeAsHome(std::move(Packet), Now, Out);
  else
    forward(std::move(Packet), *Home, false, Out);
}

void Flows::State::forward(AgentPacket Packet, const Peer &To, bool Placed,
                           FlowsOutput &Out) {
  PacketHeader &Header = Packet.Header;
  if (Header.Hops >= MaxHops) {
    drop(Packet, "hop limit reached", Out);
    return;
  }
  ++Header.Hops;
  Header.Placed = Placed;
  Header.Holder = Placed ? To.Entry.Agent.Id : AgentId::None;
  Header.RosterVersion =
      std::max(Header.RosterVersion, ServicePeers.roster().Version);
  Out.Actions.emplace_back(SendDatagram{To.Entry.Data, Header, Packet.Payload});
}

// Refuses a request because no agent can take its flow. A request with a ticket
// may have run before, so the verdict must allow for that.
void Flows::State::refuse(const AgentPacket &Packet, FlowsOutput &Out) {
  if (!isRequest(Packet.Decoded.Kind)) {
    drop(Packet, "no holder and not a request", Out);
    return;
  }
  const Verdict RefusalVerdict =
      Packet.Decoded.Echo ? Verdict::MayHaveRun : Verdict::NotRun;
  const auto MessageId = static_cast<uint16_t>(Context.nextId());
  Out.Actions.emplace_back(
      flowEvent(EventKind::FlowRefused, flowOf(Packet.Header), AgentId::None));
  Out.Actions.emplace_back(SendMessage{
      Packet.Header.Balancer, replyHeader(Packet.Header, AgentId::None),
      refusalTo(Packet.Decoded, RefusalVerdict, RefusalRetryAfter, MessageId)});
}

void Flows::State::drop(const AgentPacket &Packet, std::string_view Reason,
                        FlowsOutput &Out) {
  Event NewEvent =
      flowEvent(EventKind::PacketDropped, flowOf(Packet.Header), AgentId::None);
  NewEvent.Detail = Reason;
  Out.Actions.emplace_back(std::move(NewEvent));
}

bool Flows::State::park(AgentPacket &Packet, std::vector<AgentPacket> &Into) {
  const bool Full = Into.size() >= MaxParkedPerFlow * MaxHandOverFlows ||
                    ParkedPackets >= MaxParkedPackets ||
                    ParkedBytes + Packet.Payload.size() > MaxParkedBytes;
  if (Full)
    return false;
  // If a holder returned the packet as refused, the refusal has been processed
  // by now.
  Packet.Header.Placed = false;
  ++ParkedPackets;
  ParkedBytes += Packet.Payload.size();
  Into.push_back(std::move(Packet));
  return true;
}

std::vector<AgentPacket> Flows::State::unpark(std::vector<AgentPacket> &From) {
  std::vector<AgentPacket> Result = std::move(From);
  From.clear();
  ParkedPackets -= Result.size();
  for (const AgentPacket &Packet : Result)
    ParkedBytes -= Packet.Payload.size();
  return Result;
}

} // namespace dragonflystall
