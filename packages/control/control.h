/**
 * Package control: reads the configuration from the platform, serves the operators' admin API, and
 * runs rollouts on the host that holds the lease for sending orders to engines.
 *
 * Depends on all other packages.
 */
#pragma once

#include "control/admin/adminserver.h"
#include "control/admin/configurationhandler.h"
#include "control/admin/rollouthandler.h"
#include "control/admin/statushandler.h"
#include "control/configuration/configurationfollower.h"
#include "control/configuration/configurationstore.h"
#include "control/configuration/watcherselection.h"
#include "control/lease/orderlease.h"
#include "control/rollouts/rollout.h"
#include "control/rollouts/rolloutplanner.h"
#include "control/rollouts/rolloutservice.h"
