/**
 * Package core: time, identifiers and typed errors that every other package uses.
 *
 * Depends on the C++ standard library only.
 */
#pragma once

#include "core/errors/error.h"
#include "core/identity/identifier.h"
#include "core/identity/randomsource.h"
#include "core/time/clock.h"
