/**
 * Package observability: numbered log events and metrics.
 *
 * Depends on core; log4cplus and prometheus-cpp stay inside its sources.
 */
#pragma once

#include "observability/logging/eventlog.h"
#include "observability/logging/logevent.h"
#include "observability/metrics/metrics.h"
