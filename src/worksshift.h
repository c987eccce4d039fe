/** \file
 * The public header of the library.
 */
#pragma once

#include "errors.h"
#include "fleet_config.h"
#include "ids.h"
#include "log.h"
#include "membership.h"
#include "messages.h"
#include "node.h"
#include "tables.h"
