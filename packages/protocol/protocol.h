/**
 * Package protocol: the messages between entry hosts and their msgpack encoding.
 *
 * A payload consists of a version byte, a message kind byte and a msgpack array. Depends on core.
 */
#pragma once

#include "protocol/messages/messagecodec.h"
#include "protocol/messages/peermessage.h"
