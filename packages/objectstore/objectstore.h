/**
 * Package objectstore: the client of the platform's object API.
 *
 * Depends on core and network. The public headers do not include JSON.
 */
#pragma once

#include "objectstore/objects/objectclient.h"
