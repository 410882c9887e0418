/**
 * Package backends: clients of model engines and plain services.
 *
 * Depends on core, network and policy (for load reports); JSON stays inside its sources.
 */
#pragma once

#include "backends/engine/engineclient.h"
#include "backends/engine/generationstream.h"
