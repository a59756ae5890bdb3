#ifndef SESAMEPADDLE_NET_BODY_MEMORY_H
#define SESAMEPADDLE_NET_BODY_MEMORY_H

#include "sesamepaddle/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sesamepaddle {

/** Counts the bytes of message bodies that a process holds, against a limit for
    all of them together.

    Small bodies may have room that large ones cannot take. When a body needs
   room that is not there, another may be given up: the largest arriving one of
   unknown length, since it may have no end; if those are small, the one whose
   taker has been without progress for longest; else the largest arriving one.
   It may be the body itself. Not thread-safe. */
class body_memory {
public:
  /** Room that large bodies cannot take, in bytes. */
  struct small_bodies {
    std::size_t FreeBytes = 0; ///< of each body, which do not count
    std::size_t MaxBytes = 0;  ///< of a body that may use the reserve
    std::size_t Reserve = 0;   ///< part of the limit
  };

  explicit body_memory(std::size_t Limit) : Limit(Limit) {}
  body_memory(std::size_t Limit, small_bodies Small)
      : Limit(Limit), Small(Small) {}
  body_memory(const body_memory &) = delete;
  body_memory &operator=(const body_memory &) = delete;

private:
  enum class phase : std::uint8_t {
    Arriving,
    Kept, ///< never given up
    Taking,
  };

public:
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

    /** Tells that the body is whole: from now on it is not given up, except
        while it is being taken. */
    void setWhole();

    /** Tells that someone takes the body, which is whole. From now on it may be
        given up for others while its taker makes no progress.
        @param OnGiveUp  called when others need its room */
    void beginTaking(time_point Now, std::function<void()> OnGiveUp);
    /** Tells that its taker has made progress. */
    void noteProgress(time_point Now) { ProgressAt = Now; }
    /** Tells that nobody takes the body any more. */
    void endTaking();

    std::size_t bytes() const { return Bytes; }
    bool isGivenUp() const { return IsGivenUp; }
    /** @returns true when the body was given up, or refused room, although it
        is not suspected to have no end: the others hold too much. */
    bool isCrowdedOut() const { return IsCrowdedOut; }

  private:
    friend class body_memory;
    std::shared_ptr<body_memory> Memory;
    std::function<void()> OnGiveUp;
    std::size_t Bytes = 0;
    std::size_t Index = 0; ///< in the list of its phase
    time_point ProgressAt{};
    phase Phase = phase::Kept;
    bool IsLengthKnown = false;
    bool IsGivenUp = false;
    bool IsCrowdedOut = false;
  };

  /** @returns the bytes that count. */
  std::size_t held() const { return Held; }
  std::size_t available() const { return Held < Limit ? Limit - Held : 0; }
  /** @returns the number of bodies that were given up for others. */
  std::size_t givenUp() const { return GivenUp; }

private:
  /** @returns how many of a body's bytes count. */
  std::size_t counted(std::size_t Bytes) const {
    return Bytes > Small.FreeBytes ? Bytes - Small.FreeBytes : 0;
  }
  /** @returns the limit for a body of which @p Counted bytes count. */
  std::size_t limitFor(std::size_t Counted) const {
    return Counted <= Small.MaxBytes ? Limit : Limit - Small.Reserve;
  }
  /** @returns true when @p Body may have no end, if it holds @p Bytes. */
  bool isSuspect(const holding &Body, std::size_t Bytes) const;
  /** @returns the body to give up if @p Growing holds @p Wanted bytes, or null
      when there is none. */
  holding *findToGiveUp(const holding &Growing, std::size_t Wanted) const;
  void giveUp(holding &Body);
  /** Puts @p Body into the list of @p Phase. */
  void move(holding &Body, phase Phase);
  std::vector<holding *> &listOf(phase Phase) {
    return Phase == phase::Arriving ? Arriving : Taking;
  }

  std::size_t Limit;
  small_bodies Small;
  std::size_t Held = 0;
  std::size_t GivenUp = 0;
  std::vector<holding *> Arriving;
  std::vector<holding *> Taking;
};

} // namespace sesamepaddle

#endif
