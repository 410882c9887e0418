/**
 * Package policy: decides on placement, admission, priority, slow servers, quarantine and retries.
 *
 * Callers pass in the time and events and read the decisions; the package uses no sockets, threads
 * or clocks. The same sequence of calls with the same seed gives the same decisions. Depends on
 * core.
 */
#pragma once

#include "policy/admission/accountlimiter.h"
#include "policy/admission/accountlimits.h"
#include "policy/admission/admissionqueue.h"
#include "policy/admission/costestimator.h"
#include "policy/admission/drainrate.h"
#include "policy/admission/groupload.h"
#include "policy/admission/sharedlimit.h"
#include "policy/admission/waitprediction.h"
#include "policy/contact/servicecontact.h"
#include "policy/dispatch/dispatcher.h"
#include "policy/hedging/hedgepolicy.h"
#include "policy/length/lengthestimator.h"
#include "policy/limits/brittlestatements.h"
#include "policy/limits/callallowance.h"
#include "policy/limits/calllimitstatements.h"
#include "policy/limits/grantinghosts.h"
#include "policy/limits/sharedcalllimits.h"
#include "policy/limits/sharedconcurrency.h"
#include "policy/load/loadtracker.h"
#include "policy/load/prefixindex.h"
#include "policy/pace/pacemonitor.h"
#include "policy/placement/copyplacement.h"
#include "policy/placement/placementpolicy.h"
#include "policy/placement/trackedsubset.h"
#include "policy/pool/serverpool.h"
#include "policy/quarantine/crashquarantine.h"
#include "policy/quarantine/promptpartquarantine.h"
#include "policy/quarantine/requestdigest.h"
#include "policy/quarantine/suspectplacement.h"
#include "policy/retries/retrybudget.h"
#include "policy/retries/serviceretrybudget.h"
#include "policy/servers/backendserver.h"
#include "policy/servers/loadreport.h"
#include "policy/suspension/suspensionpolicy.h"
#include "policy/work/decision.h"
#include "policy/work/workrequest.h"
