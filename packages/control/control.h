/**
 * Package control: configuration from the platform and the operators' admin API.
 *
 * Depends on all other packages.
 */
#pragma once

#include "control/admin/adminserver.h"
#include "control/configuration/configurationfollower.h"
