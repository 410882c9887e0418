/**
 * Package backends: clients of model engines and plain services.
 *
 * Depends on core, network and policy (for load reports). JSON is used only in its source files.
 */
#pragma once

#include "backends/engine/engineclient.h"
#include "backends/engine/generationstream.h"
