/// Module platform: clients of the platform's table service, object store and
/// VM list.
///
/// Uses core and net. Other modules use the platform only through the functions
/// in platform_client, so that a test can replace it by a fake.
#ifndef SESAMEPADDLE_PLATFORM_PLATFORM_H
#define SESAMEPADDLE_PLATFORM_PLATFORM_H

#include "sesamepaddle/platform/failures.h"
#include "sesamepaddle/platform/http_platform.h"
#include "sesamepaddle/platform/platform_client.h"

#endif
