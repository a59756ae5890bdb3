#include "support/process_memory.h"

#include <fstream>
#include <unistd.h>

namespace sesamepaddle {

std::size_t residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::size_t All = 0;
  std::size_t Resident = 0;
  File >> All >> Resident;
  return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace sesamepaddle
