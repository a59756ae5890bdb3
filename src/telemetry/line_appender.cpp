#include "telemetry/line_appender.h"

#include <log4cxx/layout.h>
#include <log4cxx/spi/loggingevent.h>

#include <climits>
#include <poll.h>
#include <string>
#include <unistd.h>

// The macro opens its own namespace and does not accept a qualified name.
using sesamepaddle::log_parts::line_appender;
IMPLEMENT_LOG4CXX_OBJECT(line_appender)

namespace sesamepaddle::log_parts {

// In log4cxx 1.0, the base class constructor ignores its layout argument.
line_appender::line_appender(int Descriptor, const log4cxx::LayoutPtr &Layout)
    : Descriptor(Descriptor) {
  setLayout(Layout);
}

void line_appender::append(const log4cxx::spi::LoggingEventPtr &Event,
                           log4cxx::helpers::Pool &Pool) {
  if (DroppedLines > 0 &&
      write("WARN  log: lines left out=" + std::to_string(DroppedLines) +
            " reason=reader-too-slow\n"))
    DroppedLines = 0;
  log4cxx::LogString Text;
  getLayout()->format(Text, Event, Pool);
  if (DroppedLines > 0 || !write(std::move(Text)))
    ++DroppedLines;
}

// A pipe that poll() reports as writable has room for PIPE_BUF bytes, and
// writes of up to PIPE_BUF bytes are atomic. So the write does not block and
// lines are not interleaved.
bool line_appender::write(std::string Line) {
  if (Line.size() > PIPE_BUF) {
    Line.resize(PIPE_BUF);
    Line.back() = '\n';
  }
  pollfd Ready{Descriptor, POLLOUT, 0};
  // POLLERR means that the pipe has no reader; writing would end the process
  // with SIGPIPE.
  if (::poll(&Ready, 1, 0) != 1 || Ready.revents != POLLOUT)
    return false;
  return ::write(Descriptor, Line.data(), Line.size()) ==
         static_cast<ssize_t>(Line.size());
}

} // namespace sesamepaddle::log_parts
