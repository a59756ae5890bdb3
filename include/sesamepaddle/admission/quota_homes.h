#ifndef SESAMEPADDLE_ADMISSION_QUOTA_HOMES_H
#define SESAMEPADDLE_ADMISSION_QUOTA_HOMES_H

#include "sesamepaddle/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** What the choice of homes needs to know of a VM. */
struct quota_vm {
  std::string Name;
  std::string Place;    ///< empty: unknown
  double Cores = 0;     ///< processor time; 0: unknown
  bool IsHeard = false; ///< its messages arrive
  bool IsReady = false; ///< it is heard, takes requests and does not stop
  duration Uptime{0};   ///< since its process started
};

/** How the VMs that may be homes in a place have changed. */
enum class homes_change : std::uint8_t {
  None,
  Known,  ///< all VMs that are no homes any more know this
  Unsure, ///< one of them fell silent and may go on, behind a partition
};

/** Chooses the VMs that make the tokens of limits.

    VMs belong to places, such as regions, which are the same on all VMs. A
    limit is divided evenly among some places. In each of them one VM, the
    limit's home, makes that place's tokens. VMs that disagree on the members of
    a place for a moment may choose different homes.

    A VM that has just started is not known to all others yet. It is no home
    until it has been up for a while, unless the others of its place have just
    started too.

    A VM that is cut off from others of its place can't know whether they have a
    home of their own. So a home makes only the fraction of the place's tokens
    that corresponds to the VMs it hears: homes on all sides of a partition
    together make no more than the whole.
*/
class quota_homes {
public:
  /** @param Places  all places; a VM of another place has no home there */
  quota_homes(std::string OwnPlace, std::vector<std::string> Places);

  /** Replaces what is known of the VMs.
      @param Self  this VM
      @param Others  all others that may be running, heard or not
      @param IsComplete  Others lists all VMs: a place without one has none
      @param SettleTime  uptime from which all VMs know a VM
      @returns how the VMs that may be homes in this VM's place have changed */
  homes_change update(const quota_vm &Self, const std::vector<quota_vm> &Others,
                      bool IsComplete, duration SettleTime);

  /** @returns the indices of the places among which the limit of @p Workspace
      is divided, this VM's own one first if it is one of them.
      @param Most  their number at most; places without VMs are left out */
  std::vector<std::size_t> placesOf(std::string_view Workspace,
                                    std::size_t Most) const;

  /** @returns the name of the limit's home in a place, empty if it has none. */
  const std::string &homeOf(std::string_view Workspace,
                            std::size_t Place) const;

  /** @returns the fraction of its place's tokens that a home in this VM's place
      may make, in [0, 1]. */
  double fraction() const { return Fraction; }

  bool isOwnPlace(std::size_t Place) const { return isOwnPlace(Places[Place]); }
  std::size_t placeCount() const { return Places.size(); }

private:
  struct home_candidate {
    std::string Name;
    std::uint64_t Hash;
    bool operator==(const home_candidate &) const = default;
  };
  struct place {
    std::string Name;
    std::uint64_t Hash;
    std::vector<home_candidate> Candidates;
    bool HasVms = true; ///< unless known to have none
  };

  bool isOwnPlace(const place &Place) const { return Place.Name == OwnPlace; }

  std::string OwnPlace;
  std::vector<place> Places;
  double Fraction = 0;
};

} // namespace sesamepaddle

#endif
