/**
 * Package runtime: CAF actors that own the daemon's mutable state.
 *
 * Each state object has one owner; others post closures over it or await a result. Depends on
 * core, Boost.Asio for awaiting, and CAF inside its sources.
 */
#pragma once

#include "runtime/actors/actorruntime.h"
#include "runtime/actors/serialactor.h"
#include "runtime/actors/stateowner.h"
