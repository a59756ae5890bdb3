#include "ingress/ahead_request.h"

#include "absl/strings/str_cat.h"

namespace sesamepaddle {

std::string ahead_counts::prometheusText() const {
  return absl::StrCat("sesamepaddle_requests_ahead_running ", Requests,
                      "\nsesamepaddle_requests_ahead_bytes ", Bytes,
                      "\nsesamepaddle_requests_ahead_total ", Total,
                      "\nsesamepaddle_requests_ahead_paused_total ", Paused,
                      "\nsesamepaddle_connection_requests_max ",
                      MaxOnConnection, "\n");
}

ahead_request::ahead_request(ahead_counts &Counts, std::size_t BodyBytes)
    : Counts(Counts) {
  ++Counts.Requests;
  ++Counts.Total;
  hold(BodyBytes);
}

ahead_request::~ahead_request() {
  hold(0);
  if (!IsFirst)
    --Counts.Requests;
}

void ahead_request::hold(std::size_t Wanted) {
  Counts.Bytes -= Bytes;
  Bytes = Wanted;
  Counts.Bytes += Bytes;
}

void ahead_request::setAnswer(ingress_answer Given) {
  if (!IsFirst)
    hold(Given.Reply.Body.size());
  Answer = std::move(Given);
  if (Waiter != nullptr)
    Waiter->cancel();
}

void ahead_request::becomeFirst() {
  hold(0);
  IsFirst = true;
  --Counts.Requests;
}

awaitable<void> ahead_request::wait() {
  if (hasAnswer())
    co_return;
  asio::steady_timer Timer(co_await asio::this_coro::executor,
                           asio::steady_timer::time_point::max());
  Waiter = &Timer;
  boost::system::error_code Ignored;
  while (!hasAnswer())
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  Waiter = nullptr;
}

} // namespace sesamepaddle
