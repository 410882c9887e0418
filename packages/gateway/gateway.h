/**
 * Package gateway: forwards routed calls and streams byte for byte.
 *
 * Routes, keys and backend servers are read from the platform's store. A codec supplied by the
 * platform's adapter translates headers. Depends on entry.
 */
#pragma once

#include "gateway/calls/callcodec.h"
#include "gateway/calls/hopheaders.h"
#include "gateway/calls/retryrule.h"
#include "gateway/contact/contactmonitor.h"
#include "gateway/contact/relaypeers.h"
#include "gateway/limits/serverlimiter.h"
#include "gateway/relay/gatewaydependencies.h"
#include "gateway/relay/gatewayservice.h"
#include "gateway/relay/gatewaystatus.h"
#include "gateway/relay/streamending.h"
#include "gateway/routes/route.h"
#include "gateway/routes/routetable.h"
#include "gateway/runs/runkeepers.h"
#include "gateway/runs/runkey.h"
#include "gateway/runs/runreplicator.h"
#include "gateway/runs/runtable.h"
#include "gateway/runs/runversionexchange.h"
#include "gateway/runs/runversions.h"
#include "gateway/runs/serviceversions.h"
#include "gateway/runs/versionhistory.h"
#include "gateway/servers/listconfirmations.h"
#include "gateway/servers/servercatalogue.h"
#include "gateway/servers/serversubset.h"
#include "gateway/state/hostchanges.h"
#include "gateway/state/quarantinearchive.h"
#include "gateway/state/servingconfiguration.h"
#include "gateway/state/servingstate.h"
#include "gateway/store/mirrorservice.h"
#include "gateway/store/objectarchivecalls.h"
#include "gateway/store/objectfollower.h"
#include "gateway/store/objectmirror.h"
#include "gateway/store/objectsource.h"
#include "gateway/store/readerselection.h"
#include "gateway/store/sharedobjectsource.h"
#include "gateway/store/storeposition.h"
#include "gateway/store/unreadableobjectlog.h"
