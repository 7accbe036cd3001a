// A compact hash table from a caller's address to a small value, with open
// addressing and linear probing. Iteration follows slot order, which depends on
// the sequence of operations only, so that a run can be reproduced exactly.
#ifndef DRAGONFLYSTALL_SRC_FLOWS_FLOWTABLE_H
#define DRAGONFLYSTALL_SRC_FLOWS_FLOWTABLE_H

#include "dragonflystall/types.h"

#include <utility>
#include <vector>

namespace dragonflystall {

template <typename Value> class FlowTable {
public:
  size_t size() const { return Count_; }
  bool empty() const { return Count_ == 0; }
  size_t bytes() const { return Slots_.capacity() * sizeof(Slot); }

  Value *find(Endpoint Caller) {
    return const_cast<Value *>(std::as_const(*this).find(Caller));
  }
  const Value *find(Endpoint Caller) const {
    if (Slots_.empty())
      return nullptr;
    const Slot &Found = Slots_[position(Caller)];
    return Found.Used ? &Found.Content : nullptr;
  }

  /// The reference is valid until the next insertion or removal.
  Value &insert(Endpoint Caller, Value Content) {
    if ((Count_ + 1) * 4 > Slots_.size() * 3)
      grow();
    Slot &Target = Slots_[position(Caller)];
    Count_ += Target.Used ? 0 : 1;
    Target = {Caller, true, std::move(Content)};
    return Target.Content;
  }

  bool erase(Endpoint Caller) {
    if (Slots_.empty())
      return false;
    size_t Hole = position(Caller);
    if (!Slots_[Hole].Used)
      return false;
    for (size_t I = next(Hole); Slots_[I].Used; I = next(I)) {
      if (distance(home(Slots_[I].Caller), I) < distance(Hole, I))
        continue;
      Slots_[Hole] = std::move(Slots_[I]);
      Hole = I;
    }
    Slots_[Hole] = Slot{};
    --Count_;
    return true;
  }

  void clear() {
    Slots_.clear();
    Count_ = 0;
  }

  /// Calls Visit(Caller, Value), which must not insert or erase entries.
  template <typename Function> void forEach(Function Visit) {
    for (Slot &Entry : Slots_)
      if (Entry.Used)
        Visit(Entry.Caller, Entry.Content);
  }
  template <typename Function> void forEach(Function Visit) const {
    for (const Slot &Entry : Slots_)
      if (Entry.Used)
        Visit(Entry.Caller, Entry.Content);
  }

  /// The callers for which Matches(Caller, Value) is true.
  template <typename Predicate>
  std::vector<Endpoint> select(Predicate Matches) const {
    std::vector<Endpoint> Result;
    forEach([&](Endpoint Caller, const Value &Content) {
      if (Matches(Caller, Content))
        Result.push_back(Caller);
    });
    return Result;
  }

private:
  struct Slot {
    Endpoint Caller;
    bool Used = false;
    Value Content{};
  };

  /// Invariant: the size is 0 or a power of two, and at most 3/4 of the slots
  /// are used.
  std::vector<Slot> Slots_;
  size_t Count_ = 0;

  static constexpr size_t FirstSize = 16;

  size_t home(Endpoint Caller) const {
    return hashFlow({ServiceId::None, Caller}) & (Slots_.size() - 1);
  }
  size_t next(size_t I) const { return (I + 1) & (Slots_.size() - 1); }
  size_t distance(size_t From, size_t To) const {
    return (To - From) & (Slots_.size() - 1);
  }
  /// The slot of the caller, or the free slot where it would be inserted.
  size_t position(Endpoint Caller) const {
    size_t I = home(Caller);
    while (Slots_[I].Used && Slots_[I].Caller != Caller)
      I = next(I);
    return I;
  }
  void grow() {
    std::vector<Slot> Old = std::move(Slots_);
    Slots_ = std::vector<Slot>(Old.empty() ? FirstSize : Old.size() * 2);
    for (Slot &Entry : Old)
      if (Entry.Used)
        Slots_[position(Entry.Caller)] = std::move(Entry);
  }
};

} // namespace dragonflystall

#endif
