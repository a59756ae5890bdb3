#ifndef SESAMEPADDLE_SRC_INGRESS_GOSSIP_RECIPIENTS_H
#define SESAMEPADDLE_SRC_INGRESS_GOSSIP_RECIPIENTS_H

#include "sesamepaddle/ingress/fleet_state.h"

#include <cstdint>
#include <vector>

namespace sesamepaddle {

/** A VM that gets a message in one round of gossip. */
struct gossip_recipient {
  const known_vm *Vm = nullptr; ///< owned by the fleet_state
  bool MustForward = false;     ///< to the other VMs of its failure domain
};

/** Chooses who gets a message in a round of gossip.

    VMs of the sender's failure domain get one each. Of another failure domain
    one VM does, another one in each round, and forwards it there: traffic
    between failure domains is dear, and a forwarder that is gone or slow costs
    its domain one round. Where few VMs of a domain are heard, and for VMs that
    are silent, there is no forwarder.

    @param Round  number of the round
    @param ToAll  to all VMs; else to those of the sender's region
    @param MayForward  false: without forwarders, for what must not be late */
std::vector<gossip_recipient> chooseRecipients(const fleet_state &Fleet,
                                               std::uint64_t Round, bool ToAll,
                                               bool MayForward, time_point Now);

/** @returns the VMs to which this VM forwards a message of @p Sender: those of
    its failure domain that it hears. */
std::vector<const known_vm *> chooseForwardees(const fleet_state &Fleet,
                                               const vm_name &Sender,
                                               time_point Now);

} // namespace sesamepaddle

#endif
