#ifndef GATEWAY_FORWARD_H
#define GATEWAY_FORWARD_H

#include <stdbool.h>
#include <stdint.h>

#include "core/admission.h"

/* Requests on their way: finds each one's route, account and endpoint, sends
   it, passes the answer on, and sends it again or gives up where that fails.
   Loop thread only. */

struct callers_handlers;
struct directory;
struct endpoints;
struct forwards;
struct holds;
struct loop;
struct peers;
struct upstreams;

struct forwards_settings {
    const char *instance;
    const char *data_centre;
    /* A request waits so long for the first configuration. */
    uint32_t park_ms;
    struct admission_settings admission;
    /* Sending requests again, over all gateways. */
    uint32_t budget_window_ms;
    double budget_ratio;
    double budget_extra;
};

struct forwards_parts {
    struct loop *loop;
    struct directory *directory;
    struct endpoints *endpoints;
    struct upstreams *upstreams;
    struct holds *holds;
    struct peers *peers;
};

struct forwards *forwards_create(const struct forwards_parts *parts,
                                 const struct forwards_settings *settings);

/* New bounds, after the settings file has changed. */
void forwards_set_bounds(struct forwards *forwards,
                         const struct forwards_settings *settings);

/* The first configuration is known, or another one. */
void forwards_catalog_changed(struct forwards *forwards);

/* For callers_create(); the data are the forwards. */
extern const struct callers_handlers forwards_handlers;

/* Whether this gateway can serve requests: it knows a configuration and
   endpoints, and no removed key may go unnoticed here. */
bool forwards_ready(const struct forwards *forwards);

#endif
