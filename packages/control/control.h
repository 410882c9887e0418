/**
 * Package control: configuration from the platform and the operators' admin API.
 *
 * Depends on all other packages.
 */
#pragma once

#include "control/admin/adminserver.h"
#include "control/admin/configurationhandler.h"
#include "control/admin/statushandler.h"
#include "control/configuration/configurationfollower.h"
#include "control/configuration/configurationstore.h"
#include "control/configuration/watcherselection.h"
