#ifndef SESAMEPADDLE_NET_BODY_MEMORY_H
#define SESAMEPADDLE_NET_BODY_MEMORY_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sesamepaddle {

/** Counts the bytes of message bodies that a process holds, against a limit for
    all of them together.

    When a body needs room that is not there, one that is still arriving may be
    given up: the largest one of unknown length, since it may have no end, or
    the largest one if those are small. It may be the body itself. Not
    thread-safe. */
class body_memory {
public:
  explicit body_memory(std::size_t Limit) : Limit(Limit) {}
  body_memory(const body_memory &) = delete;
  body_memory &operator=(const body_memory &) = delete;

  /** The bytes that one body holds; given back when it is destroyed. */
  class holding {
  public:
    /** @param OnGiveUp  called to free the body when others need its room;
       null: it is not given up for others */
    explicit holding(std::shared_ptr<body_memory> Memory,
                     std::function<void()> OnGiveUp = {});
    ~holding();
    holding(const holding &) = delete;
    holding &operator=(const holding &) = delete;

    /** Sets the bytes of this body.
        @returns false when the limit does not allow them or the body was given
           up; nothing changes */
    bool resize(std::size_t Wanted);

    /** Makes room in @p Body for @p Extra more bytes, and counts them. While
        the content moves, both copies count.
        @returns false when the limit does not allow them or the body was given
           up */
    bool reserve(std::string &Body, std::size_t Extra);

    /** Tells that the length of the body is known in advance. */
    void setLengthKnown() { IsLengthKnown = true; }

    /** Tells that the body is whole: from now on it is not given up. */
    void setWhole();

    std::size_t bytes() const { return Bytes; }
    bool isGivenUp() const { return IsGivenUp; }

  private:
    friend class body_memory;
    std::shared_ptr<body_memory> Memory;
    std::function<void()> OnGiveUp;
    std::size_t Bytes = 0;
    std::size_t Index = 0; ///< in body_memory::Arriving, unless whole
    bool IsLengthKnown = false;
    bool IsGivenUp = false;
  };

  std::size_t held() const { return Held; }
  std::size_t available() const { return Held < Limit ? Limit - Held : 0; }
  /** @returns the number of bodies that were given up for others. */
  std::size_t givenUp() const { return GivenUp; }

private:
  /** @returns the body to give up if @p Growing holds @p Wanted bytes, or null
      when there is none. */
  holding *findToGiveUp(const holding &Growing, std::size_t Wanted) const;
  void remove(holding &Whole);

  std::size_t Limit;
  std::size_t Held = 0;
  std::size_t GivenUp = 0;
  std::vector<holding *> Arriving; ///< those that may be given up
};

} // namespace sesamepaddle

#endif
