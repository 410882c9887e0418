/**
 * Package policy: decisions on placement, admission, priority, pace, quarantine and retries.
 *
 * Pure: time and events come in, decisions go out; no socket, thread or clock. The same sequence of
 * calls and the same seed give the same decisions. Depends on core.
 */
#pragma once

#include "policy/dispatch/dispatcher.h"
#include "policy/length/lengthestimator.h"
#include "policy/load/loadtracker.h"
#include "policy/load/prefixindex.h"
#include "policy/pace/pacemonitor.h"
#include "policy/placement/placementpolicy.h"
#include "policy/placement/trackedsubset.h"
#include "policy/pool/serverpool.h"
#include "policy/servers/backendserver.h"
#include "policy/servers/loadreport.h"
#include "policy/work/decision.h"
#include "policy/work/workrequest.h"
