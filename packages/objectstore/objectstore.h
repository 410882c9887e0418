/**
 * Package objectstore: the client of the platform's object API.
 *
 * Depends on core and network; JSON stays inside its sources.
 */
#pragma once

#include "objectstore/objects/objectclient.h"
