/**
 * Package membership: tracks which entry hosts are alive, suspected, leaving or dead.
 *
 * MemberTable is a pure state machine in the style of SWIM: it does no input or output. Depends on
 * core and protocol.
 */
#pragma once

#include "membership/table/membertable.h"
