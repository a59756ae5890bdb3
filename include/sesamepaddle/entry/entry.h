/// Module entry: the server process of an entry VM, which takes callers'
/// requests, sends them to upstreams and returns the answers.
///
/// Uses all modules except command_line and connects their logic to sockets.
#ifndef SESAMEPADDLE_ENTRY_ENTRY_H
#define SESAMEPADDLE_ENTRY_ENTRY_H

#include "sesamepaddle/entry/entry_vm.h"
#include "sesamepaddle/entry/outcome.h"
#include "sesamepaddle/entry/service_directory.h"

#endif
