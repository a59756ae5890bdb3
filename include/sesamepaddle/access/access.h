/// Module access: which workspace an API key belongs to.
///
/// Uses core and documents. Only hashes of keys are stored, never the keys.
#ifndef SESAMEPADDLE_ACCESS_ACCESS_H
#define SESAMEPADDLE_ACCESS_ACCESS_H

#include "sesamepaddle/access/key_table.h"

#endif
