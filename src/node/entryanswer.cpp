// Answers to calls for an agent's entry.
#include "node/entryanswer.h"

namespace dragonflystall::node {

namespace {

using Call = opaque::Registration::Call;
using Kind = EntryAnswer::Kind;

bool isWrite(Call C) { return C != Call::Read && C != Call::Check; }

/// Whether a write on condition of a revision was refused, or none was sent, by
/// what the store has instead.
bool fitsConflict(const EntryCall &Sent, opaque::StoreRevision Stored) {
  return isWrite(Sent.Call) &&
         (Sent.Call == Call::Create || Stored != Sent.Known);
}

/// Whether the store may have this object after the call was carried out.
bool fitsSuccess(const EntryCall &Sent, const platform::Object &Object,
                 opaque::StoreRevision Stored) {
  switch (Sent.Call) {
  case Call::Create:
    return platform::decodeAgent(Object) == Sent.Entry;
  case Call::Replace:
    // An object that is written again unchanged may keep its revision.
    return platform::decodeAgent(Object) == Sent.Entry && Stored >= Sent.Known;
  case Call::Read:
    // A store that names no era may have come back from a copy.
    return Stored.Era == 0 || Stored >= Sent.Known;
  case Call::Check:
    return true;
  case Call::Remove:
    break;
  }
  return false;
}

} // namespace

EntryAnswer readEntryAnswer(const EntryCall &Sent,
                            const HttpResponse &Response) {
  const bool IsConflict = Response.Status == HttpStatus::Conflict;
  if (Response.Status == HttpStatus::NotFound)
    return {Sent.Call == Call::Create ? Kind::Unknown : Kind::Absent};
  if (!Response.succeeded() && !IsConflict)
    return {Kind::Refused};
  auto Object = platform::decodeObject(Response.Body);
  // The answer to a removal has no object.
  if (Sent.Call == Call::Remove && !IsConflict)
    return {Object ? Kind::Unknown : Kind::Absent};
  if (!Object || Object->Name != Sent.Name)
    return {Kind::Unknown};
  const opaque::StoreRevision Stored = {platform::storeEraOf(Response),
                                        Object->Revision};
  const bool Fits = IsConflict ? fitsConflict(Sent, Stored)
                               : fitsSuccess(Sent, *Object, Stored);
  if (!Fits)
    return {Kind::Unknown};
  return {Kind::Stored, std::move(*Object)};
}

} // namespace dragonflystall::node
