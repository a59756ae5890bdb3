#ifndef SESAMEPADDLE_SRC_INGRESS_UNFINISHED_ANSWERS_H
#define SESAMEPADDLE_SRC_INGRESS_UNFINISHED_ANSWERS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace sesamepaddle {

/** Why a connection ended although its caller had not received all of the
    answer to a request that was read. */
enum class unfinished_cause : std::uint8_t {
  CallerClosed,  ///< the caller ended its sending side
  CallerReset,   ///< the caller or the network reset the connection
  CallerStalled, ///< the caller did not take the answer in time
  MemoryNeeded,  ///< it took nothing, and other answers needed the memory
  VmEnded,       ///< the VM's grace period is over
  Failed,        ///< an error in the VM
};

/** @returns the name of @p Cause in logs and metrics. */
const char *nameOf(unfinished_cause Cause);

/** Counts unfinished answers by cause. */
class unfinished_answers {
public:
  void add(unfinished_cause Cause) {
    ++Counts[static_cast<std::size_t>(Cause)];
  }
  std::size_t count(unfinished_cause Cause) const {
    return Counts[static_cast<std::size_t>(Cause)];
  }
  /** @returns the counts as Prometheus text. */
  std::string prometheusText() const;

private:
  static constexpr std::size_t Causes = 6;
  std::array<std::size_t, Causes> Counts{};
};

} // namespace sesamepaddle

#endif
