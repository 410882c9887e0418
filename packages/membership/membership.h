/**
 * Package membership: which entry hosts are alive, leaving or dead.
 *
 * MemberTable is a pure SWIM-style state machine. Depends on core and protocol.
 */
#pragma once

#include "membership/table/membertable.h"
