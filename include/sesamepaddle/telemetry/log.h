#ifndef SESAMEPADDLE_TELEMETRY_LOG_H
#define SESAMEPADDLE_TELEMETRY_LOG_H

#include "sesamepaddle/settings/vm_settings.h"

#include <memory>
#include <string>
#include <string_view>

namespace sesamepaddle {

/** Sets up the process's log on its standard error or another descriptor. A
    reader that stops reading holds nobody up: lines are left out and counted.
    @see line_appender */
void configureLogs(log_level Level, log_layout Layout, int Descriptor = 2);

/** Writes log lines with the prefix of one part. Cheap to copy. */
class component_log {
public:
  /** @param Part  the fixed prefix, such as "documents" */
  explicit component_log(std::string_view Part);

  void error(const std::string &Sentence) const;
  void warn(const std::string &Sentence) const;
  void info(const std::string &Sentence) const;
  void debug(const std::string &Sentence) const;

private:
  struct implementation;
  std::shared_ptr<const implementation> Implementation;
};

} // namespace sesamepaddle

#endif
