/// Module membership: which VMs exist and in which state, derived from
/// heartbeats, departure announcements and the platform's lagging list.
///
/// Uses core. Opens no sockets and takes the current time as an argument.
#ifndef SESAMEPADDLE_MEMBERSHIP_MEMBERSHIP_H
#define SESAMEPADDLE_MEMBERSHIP_MEMBERSHIP_H

#include "sesamepaddle/membership/failures.h"
#include "sesamepaddle/membership/member.h"
#include "sesamepaddle/membership/member_table.h"
#include "sesamepaddle/membership/membership_message.h"
#include "sesamepaddle/membership/membership_protocol.h"

#endif
