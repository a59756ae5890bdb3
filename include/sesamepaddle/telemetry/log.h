#ifndef SESAMEPADDLE_TELEMETRY_LOG_H
#define SESAMEPADDLE_TELEMETRY_LOG_H

#include "sesamepaddle/settings/vm_settings.h"

#include <memory>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** Sets the level, layout and output of all logs of the process.

    Logging never blocks: while the reader of the output does not keep up, lines
    are dropped and counted.
    @param Descriptor  the file descriptor to write to; 2 is standard error
    @see line_appender */
void configureLogs(log_level Level, log_layout Layout, int Descriptor = 2);

/** Writes log lines that name one component of the process. Cheap to copy. */
class component_log {
public:
  /** @param Component  the name in front of each line, such as "documents" */
  explicit component_log(std::string_view Component);

  void error(const std::string &Message) const;
  void warn(const std::string &Message) const;
  void info(const std::string &Message) const;
  void debug(const std::string &Message) const;

private:
  struct implementation;
  std::shared_ptr<const implementation> Implementation;
};

} // namespace sesamepaddle

#endif
