#ifndef SESAMEPADDLE_ENTRY_CONTROL_HANDLER_H
#define SESAMEPADDLE_ENTRY_CONTROL_HANDLER_H

#include "entry/document_exchange.h"
#include "entry/membership_driver.h"
#include "entry/move_controller.h"
#include "entry/platform_poller.h"
#include "entry/share_limiter.h"
#include "entry/vm_directory.h"
#include "sesamepaddle/entry/service_directory.h"
#include "sesamepaddle/net/http_server.h"
#include "sesamepaddle/settings/vm_settings.h"
#include "sesamepaddle/telemetry/metrics.h"

#include <functional>

namespace sesamepaddle {

/** The components that answerControl() shows to operators or controls. */
struct control_sources {
  const vm_settings &Settings;
  const service_directory &Services;
  const vm_directory &Vms;
  const platform_poller &Poller;
  const membership_driver &Members;
  const document_exchange &Documents;
  const move_controller &Moves;
  const share_limiter *Shares; ///< null: static_limiter is used instead
  const metrics &Metrics;
  std::function<void()> RequestStop;
};

/** Answers a request to the control address: GET /status (JSON), GET /metrics
    (Prometheus text) or POST /drain, which starts a graceful shutdown. */
http_reply answerControl(const control_sources &Sources,
                         const http_request &Request);

} // namespace sesamepaddle

#endif
