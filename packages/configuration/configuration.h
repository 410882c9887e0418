/**
 * Package configuration: the configuration in force and the daemon's settings.
 *
 * Pure: text comes in, typed values or errors go out. Depends on core and policy (for the types of
 * backend servers and limits); JSON stays inside its sources.
 */
#pragma once

#include "configuration/documents/configurationdocument.h"
#include "configuration/settings/settings.h"
