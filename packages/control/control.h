/**
 * Package control: configuration from the platform, the operators' admin API, and orders and
 * rollouts under a lease.
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
