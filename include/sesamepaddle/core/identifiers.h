#ifndef SESAMEPADDLE_CORE_IDENTIFIERS_H
#define SESAMEPADDLE_CORE_IDENTIFIERS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace sesamepaddle {

/** A name that can only be compared with names of the same kind.
    @tparam Tag  distinguishes the kinds */
template <typename Tag> class identifier {
public:
  identifier() = default;
  explicit identifier(std::string Text) : Text(std::move(Text)) {}

  bool empty() const { return Text.empty(); }
  const std::string &str() const { return Text; }
  std::string_view view() const { return Text; }

  friend auto operator<=>(const identifier &, const identifier &) = default;
  friend bool operator==(const identifier &, const identifier &) = default;
  friend std::ostream &operator<<(std::ostream &Stream,
                                  const identifier &Name) {
    return Stream << Name.Text;
  }

private:
  std::string Text;
};

using service_name = identifier<struct service_tag>;
using workspace_name = identifier<struct workspace_tag>;
using route_name = identifier<struct route_tag>;
using version_name = identifier<struct version_tag>;
using region_name = identifier<struct region_tag>;
using failure_domain_name = identifier<struct failure_domain_tag>;
/** The name of an owner, who signs documents with a key. */
using owner_name = identifier<struct owner_tag>;

/** The name of a VM: its address, which a replacement VM takes over. */
using vm_name = identifier<struct vm_tag>;

/** Distinguishes the processes that have run under one VM name. Drawn at random
    when a process starts, so that no state on disk is needed. */
enum class incarnation : std::uint64_t {};

/** Identifies a process by its VM name and incarnation. */
struct vm_identity {
  vm_name Name;
  incarnation Incarnation{};

  friend auto operator<=>(const vm_identity &, const vm_identity &) = default;
};

} // namespace sesamepaddle

template <typename Tag> struct std::hash<sesamepaddle::identifier<Tag>> {
  std::size_t operator()(const sesamepaddle::identifier<Tag> &Name) const {
    return std::hash<std::string>()(Name.str());
  }
};

#endif
