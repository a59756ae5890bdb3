#ifndef SESAMEPADDLE_SRC_INGRESS_BODY_MEMORY_H
#define SESAMEPADDLE_SRC_INGRESS_BODY_MEMORY_H

#include <cstddef>

namespace sesamepaddle {

/** Counts the bytes of request bodies that a VM holds, against a limit for all
    of them together. */
class body_memory {
public:
  explicit body_memory(std::size_t Limit) : Limit(Limit) {}

  /** The bytes that one request holds; given back when it is destroyed. */
  class holding {
  public:
    explicit holding(body_memory &Memory) : Memory(Memory) {}
    ~holding() { Memory.Held -= Bytes; }
    holding(const holding &) = delete;
    holding &operator=(const holding &) = delete;

    /** Sets the bytes of this request.
        @returns false when the limit does not allow them; nothing changes */
    bool resize(std::size_t Wanted) {
      if (Wanted > Bytes && Wanted - Bytes > Memory.available())
        return false;
      Memory.Held += Wanted;
      Memory.Held -= Bytes;
      Bytes = Wanted;
      return true;
    }

    std::size_t bytes() const { return Bytes; }

  private:
    body_memory &Memory;
    std::size_t Bytes = 0;
  };

  std::size_t held() const { return Held; }
  std::size_t available() const { return Held < Limit ? Limit - Held : 0; }

private:
  std::size_t Limit;
  std::size_t Held = 0;
};

} // namespace sesamepaddle

#endif
