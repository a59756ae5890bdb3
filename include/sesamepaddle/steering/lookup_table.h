#ifndef SESAMEPADDLE_STEERING_LOOKUP_TABLE_H
#define SESAMEPADDLE_STEERING_LOOKUP_TABLE_H

#include "sesamepaddle/steering/block_map.h"
#include "sesamepaddle/steering/lookup.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesamepaddle {

/** A failure domain to whose VMs clients can be directed. */
struct lookup_site {
  region_name Region;
  failure_domain_name FailureDomain;
  /** The sites to use for clients near this one, in order of preference and
      including this one. If empty: this site, then those of its region, then
      the others, each group in the order of the table. */
  std::vector<site_index> Order;
  /** Relative shares of the traffic of clients near this site, by position in
      Order. If empty, all of it goes to the first site that has VMs. */
  std::vector<double> Shares;
};

/** The client that looks up entry VMs and what it wants to use. */
struct lookup_query {
  std::string_view Service;
  std::string_view Workspace; ///< empty: the choices are all VMs of the site
  std::optional<client_address> Client;
  /** How many VMs to name as choices: as many as the workspace's rate needs, so
      that a small workspace uses few VMs. */
  std::size_t Spread = 1;
  /** The home of the workspace's limit, to be named first; may be empty.
      @see share_holder */
  std::string_view Home;
};

/** Answers look-ups. A table is immutable; after a change a new one is created,
    which shares the block map. */
class lookup_table {
public:
  /** @param Vms  the VMs to name, except those that are leaving or whose
      failure domain has no site
      @param OwnDomain  the failure domain whose site is used for clients that
      no block covers or whose address is unknown */
  lookup_table(std::shared_ptr<const block_map> Blocks,
               std::vector<lookup_site> Sites,
               std::span<const entry_candidate> Vms,
               const failure_domain_name &OwnDomain,
               std::chrono::milliseconds TimeToLive);

  /** @returns the VMs to use; none when no site has VMs. */
  lookup_answer find(const lookup_query &Query) const;

  /** @returns the memory of the table and its block map, in bytes. */
  std::size_t memoryBytes() const;

private:
  struct site_vm {
    entry_choice Choice;
    std::string Name;
    std::uint64_t Hash = 0;
  };
  struct site_state {
    lookup_site Site;
    std::vector<site_vm> Vms;
  };

  void fillOrders();
  site_index nearestSite(const lookup_query &Query) const;
  std::size_t chooseSite(const site_state &Near, std::uint64_t BlockKey) const;
  std::vector<const site_vm *> rankVms(const site_state &Site,
                                       const lookup_query &Query,
                                       std::uint64_t Key) const;
  void addFallbacks(const site_state &Near, std::size_t Chosen,
                    std::uint64_t Key, lookup_answer &Answer) const;

  std::shared_ptr<const block_map> Blocks;
  std::vector<site_state> Sites;
  site_index OwnSite = 0;
  std::chrono::milliseconds TimeToLive;
};

/** @returns one site for each failure domain of @p Vms, without Order and
    Shares. */
std::vector<lookup_site> sitesOfDomains(std::span<const entry_candidate> Vms);

} // namespace sesamepaddle

#endif
