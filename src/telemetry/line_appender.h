#ifndef SESAMEPADDLE_SRC_TELEMETRY_LINE_APPENDER_H
#define SESAMEPADDLE_SRC_TELEMETRY_LINE_APPENDER_H

#include <log4cxx/appenderskeleton.h>

#include <cstddef>
#include <string>

namespace sesamepaddle::log_parts {

// The log4cxx macros below use these names without their namespace.
namespace helpers = log4cxx::helpers;
namespace spi = log4cxx::spi;
using log4cxx::LogString;

/** A log4cxx appender that writes lines to a file descriptor without blocking.

    Lines are dropped and counted while the descriptor is not writable; the
    count is logged before the next line that can be written. Lines are
    truncated to PIPE_BUF bytes, the most that a pipe takes in one atomic
    write. */
class line_appender : public log4cxx::AppenderSkeleton {
public:
  DECLARE_LOG4CXX_OBJECT(line_appender)
  BEGIN_LOG4CXX_CAST_MAP()
  LOG4CXX_CAST_ENTRY(line_appender)
  LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
  END_LOG4CXX_CAST_MAP()

  line_appender() = default;
  line_appender(int Descriptor, const log4cxx::LayoutPtr &Layout);

  void close() override {}
  bool requiresLayout() const override { return true; }

protected:
  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &Pool) override;

private:
  /** Writes @p Line, truncated to PIPE_BUF bytes, without blocking.
      @returns false when it could not be written. */
  bool write(std::string Line);

  int Descriptor = 2;
  std::size_t DroppedLines = 0; ///< since the count was last logged
};

} // namespace sesamepaddle::log_parts

#endif
