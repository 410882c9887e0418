/**
 * Package configuration: documents, their validation, the revision log and the daemon's settings.
 *
 * Pure: it converts text into typed values or errors and does no input or output. Depends on core
 * and policy (for the types of backend servers and limits). The public headers do not include JSON.
 */
#pragma once

#include "configuration/documents/configurationdocument.h"
#include "configuration/documents/configurationfault.h"
#include "configuration/documents/documentkey.h"
#include "configuration/documents/documentset.h"
#include "configuration/revisions/changeacceptance.h"
#include "configuration/revisions/configurationloader.h"
#include "configuration/revisions/configurationsource.h"
#include "configuration/revisions/peertransfer.h"
#include "configuration/revisions/revisionhead.h"
#include "configuration/settings/settings.h"
