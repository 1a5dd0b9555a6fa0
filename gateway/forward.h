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
struct forwarder;
struct holds;
struct loop;
struct peers;
struct upstreams;

struct forwarder_settings {
    const char *instance;
    const char *data_centre;
    /* A request waits so long for the first configuration. */
    uint32_t config_wait_ms;
    struct admission_settings admission;
    /* Sending requests again, over all gateways. */
    uint32_t budget_window_ms;
    double budget_ratio;
    double budget_extra;
};

struct forwarder_deps {
    struct loop *loop;
    struct directory *directory;
    struct endpoints *endpoints;
    struct upstreams *upstreams;
    struct holds *holds;
    struct peers *peers;
};

struct forwarder *forwarder_create(const struct forwarder_deps *deps,
                                   const struct forwarder_settings *settings);

/* New bounds, after the settings file has changed. */
void forwarder_set_settings(struct forwarder *forwarder,
                            const struct forwarder_settings *settings);

/* The first configuration is known, or another one. */
void forwarder_catalog_changed(struct forwarder *forwarder);

/* For callers_create(); the data are the forwarder. */
extern const struct callers_handlers forwarder_handlers;

/* Whether this gateway can serve requests: it knows a configuration and
   endpoints, and no removed key may go unnoticed here. */
bool forwarder_is_ready(const struct forwarder *forwarder);

#endif
