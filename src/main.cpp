#include "sesamepaddle/command_line/command_line.h"

#include <cstddef>

int main(int Count, char **Arguments) {
  return sesamepaddle::runCommandLine(
      std::span<char *const>(Arguments, static_cast<std::size_t>(Count)));
}
