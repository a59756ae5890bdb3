#ifndef SESAMEPADDLE_RATE_LIMITING_SHARE_MESSAGES_H
#define SESAMEPADDLE_RATE_LIMITING_SHARE_MESSAGES_H

#include "sesamepaddle/rate_limiting/share_types.h"

#include <variant>

namespace sesamepaddle {

/** Sequence number of a request, unique within one process. */
using share_sequence = std::uint64_t;

/** Sent by a home to an owner, to borrow its part in some slots. */
struct loan_request {
  share_sequence Sequence = 0;
  slot_mask Slots = 0;
};

/** Sent by an owner to lend its part. The loan lasts share_timing::LoanTime
    from when the home sent the request. */
struct loan_reply {
  share_sequence Sequence = 0;
  incarnation Home{}; ///< the process that sent the request
  slot_mask Slots = 0;
  share_parts Parts = 0;
  /** Time until all loans of the requested slots that this reply does not lend
      have ended; 0 when there is nothing to wait for. */
  duration FreeIn{0};
};

/** Sent by a VM to request tokens from a limit's home. */
struct token_request {
  share_sequence Sequence = 0;
  limit_name Limit;
  double Tokens = 0;
  double Unit = 1; ///< the reply holds a multiple of this many tokens
};

/** Sent by a home to grant tokens. They can be spent for
    share_timing::GrantTime from when the request was sent. */
struct token_reply {
  share_sequence Sequence = 0;
  incarnation Asker{}; ///< the process that sent the request
  limit_name Limit;
  double Tokens = 0;
};

/** Sent by a VM to the home when all tokens of one reply are spent. The home
    then no longer subtracts them from the bucket's depth. */
struct tokens_spent {
  share_sequence Sequence = 0;
  limit_name Limit;
};

using share_message = std::variant<loan_request, loan_reply, token_request,
                                   token_reply, tokens_spent>;

/** A message with the VM that it is addressed to. */
struct outgoing_share_message {
  vm_name To;
  share_message Message;
};

} // namespace sesamepaddle

#endif
