/// Module settings: a reader of YAML files that reports every error at once,
/// and the settings of a VM.
///
/// Uses core.
#ifndef SESAMEPADDLE_SETTINGS_SETTINGS_H
#define SESAMEPADDLE_SETTINGS_SETTINGS_H

#include "sesamepaddle/settings/units.h"
#include "sesamepaddle/settings/vm_settings.h"
#include "sesamepaddle/settings/yaml_reader.h"

#endif
