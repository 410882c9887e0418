/**
 * Package platform: the client of the platform's object API.
 *
 * Depends on core and network; JSON stays inside its sources.
 */
#pragma once

#include "platform/objects/objectclient.h"
