/**
 * Package entry: serves callers and exchanges membership, load and configuration with peers.
 *
 * Depends on all packages but control.
 */
#pragma once

#include "entry/calls/callbinding.h"
#include "entry/calls/callledger.h"
#include "entry/calls/servicecallhandler.h"
#include "entry/dispatch/backendmonitor.h"
#include "entry/dispatch/dispatchservice.h"
#include "entry/http/addresshandler.h"
#include "entry/http/callerserver.h"
#include "entry/http/completionhandler.h"
#include "entry/http/streamrelay.h"
#include "entry/peers/loadexchange.h"
#include "entry/peers/peerservice.h"
#include "entry/positions/positioncodec.h"
#include "entry/state/configurationholder.h"
#include "entry/state/entrystate.h"
#include "entry/tasks/taskrunner.h"
