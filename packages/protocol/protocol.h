/**
 * Package protocol: the messages between entry hosts and their msgpack encoding.
 *
 * A payload is one byte of version, one byte of kind and a msgpack array. Depends on core.
 */
#pragma once

#include "protocol/messages/messagecodec.h"
#include "protocol/messages/peermessage.h"
