#include "sesamepaddle/telemetry/log.h"

#include "telemetry/line_appender.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace sesamepaddle {

namespace {

log4cxx::LevelPtr toLog4cxx(log_level Level) {
  switch (Level) {
  case log_level::Error:
    return log4cxx::Level::getError();
  case log_level::Warning:
    return log4cxx::Level::getWarn();
  case log_level::Info:
    return log4cxx::Level::getInfo();
  case log_level::Debug:
    return log4cxx::Level::getDebug();
  }
  return log4cxx::Level::getInfo();
}

log4cxx::LayoutPtr makeLayout(log_layout Layout) {
  if (Layout == log_layout::Json)
    return std::make_shared<log4cxx::JSONLayout>();
  return std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %c: %m%n"));
}

} // namespace

void configureLogs(log_level Level, log_layout Layout, int Descriptor) {
  const auto Root = log4cxx::Logger::getRootLogger();
  Root->removeAllAppenders();
  Root->addAppender(std::make_shared<log_parts::line_appender>(
      Descriptor, makeLayout(Layout)));
  Root->setLevel(toLog4cxx(Level));
}

struct component_log::implementation {
  log4cxx::LoggerPtr Logger;
};

component_log::component_log(std::string_view Component)
    : Implementation(std::make_shared<implementation>(
          implementation{log4cxx::Logger::getLogger(std::string(Component))})) {
}

void component_log::error(const std::string &Message) const {
  LOG4CXX_ERROR(Implementation->Logger, Message);
}

void component_log::warn(const std::string &Message) const {
  LOG4CXX_WARN(Implementation->Logger, Message);
}

void component_log::info(const std::string &Message) const {
  LOG4CXX_INFO(Implementation->Logger, Message);
}

void component_log::debug(const std::string &Message) const {
  LOG4CXX_DEBUG(Implementation->Logger, Message);
}

} // namespace sesamepaddle
