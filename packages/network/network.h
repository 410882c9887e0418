/**
 * Package network: HTTP server and client, server-sent events and frame connections as coroutines.
 *
 * Depends on core and Boost.Asio; Beast stays inside its sources.
 */
#pragma once

#include "network/frames/frameconnection.h"
#include "network/http/endpoint.h"
#include "network/http/httpclient.h"
#include "network/http/httpconnection.h"
#include "network/http/httpconnectionpool.h"
#include "network/http/httpmessage.h"
#include "network/http/httpserver.h"
#include "network/http/servereventparser.h"
#include "network/sockets/listensocket.h"
