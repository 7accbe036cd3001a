// A file descriptor that is closed by its destructor.
#ifndef DRAGONFLYSTALL_SRC_SHELL_DESCRIPTOR_H
#define DRAGONFLYSTALL_SRC_SHELL_DESCRIPTOR_H

#include <unistd.h>
#include <utility>

namespace dragonflystall {

class Descriptor {
public:
  Descriptor() = default;
  explicit Descriptor(int Value) : Value_(Value) {}
  Descriptor(Descriptor &&Other) noexcept
      : Value_(std::exchange(Other.Value_, Closed)) {}
  Descriptor &operator=(Descriptor &&Other) noexcept {
    std::swap(Value_, Other.Value_);
    return *this;
  }
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;
  ~Descriptor() {
    if (Value_ != Closed)
      ::close(Value_);
  }

  int get() const { return Value_; }
  explicit operator bool() const { return Value_ != Closed; }

private:
  static constexpr int Closed = -1;
  int Value_ = Closed;
};

} // namespace dragonflystall

#endif
