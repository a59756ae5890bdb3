#ifndef SESAMEPADDLE_STEERING_RENDEZVOUS_H
#define SESAMEPADDLE_STEERING_RENDEZVOUS_H

#include <cstdint>
#include <string_view>

namespace sesamepaddle {

/** @returns a hash of @p Text that is the same on all VMs. */
std::uint64_t stableHash(std::string_view Text);

/** @returns a hash of @p Bytes that is the same on all VMs; for large ones, as
    it is many times as fast as stableHash(). */
std::uint64_t contentHash(std::string_view Bytes);

/** Score for weighted rendezvous hashing. A key is assigned to the candidate
    with the highest score, so each candidate gets keys in proportion to its
    weight. When a candidate leaves, only its own keys move.
    @param Weight  greater than 0 */
double rendezvousScore(std::uint64_t Key, std::uint64_t Candidate,
                       double Weight);

} // namespace sesamepaddle

#endif
