#ifndef GATEWAY_FORWARD_H
#define GATEWAY_FORWARD_H

#include <stdbool.h>
#include <stdint.h>

#include "core/admission.h"

/* Forwards callers' requests to endpoints: finds the route, client account and
   endpoint of each request, sends it, and relays the response. If an attempt
   fails, the request is retried at another endpoint or answered with an error.
   Loop thread only. */

struct callers_handlers;
struct crash_monitor;
struct directory;
struct endpoints;
struct forwarder;
struct holds;
struct loop;
struct peers;
struct regions;
struct upstreams;

struct forwarder_settings {
    const char *instance;
    const char *data_centre;
    const struct regions *regions; /* borrowed */
    /* How long a request waits for the process's first configuration. */
    uint32_t config_wait_ms;
    /* Prompts that may wait for busy engines; 0: none waits. Holds from
       forwarder_create() on. */
    uint32_t max_waiting;
    struct admission_settings admission;
    /* Longest time from an order to evacuate a data centre until none of its
       endpoints gets a request. A process that has just started, or was
       suspended, and whose state is older sends no request before it has a
       newer state or is cut off. 0: it does not wait. */
    uint32_t evacuate_ms;
    /* What cold endpoints may get, see struct cold_bound. */
    double cold_overage;
    double cold_slack;
    /* The retry budget of each service, for all gateways together: within a
       window, ratio times the requests, and extra retries beyond these. */
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
    struct crash_monitor *crashes;
};

/* Copies deps and settings and borrows what they point to, for the process's
   life. */
struct forwarder *forwarder_create(const struct forwarder_deps *deps,
                                   const struct forwarder_settings *settings);

/* Replaces the settings after the file has changed. The retry budgets start
   anew. */
void forwarder_set_settings(struct forwarder *forwarder,
                            const struct forwarder_settings *settings);

/* Resumes requests that wait for a newer state. Called every 100 ms. */
void forwarder_tick(struct forwarder *forwarder);

/* The process ends soon, and callers_stop() is called at stop_ms, of
   loop_now_ms(): prompts that wait for engines are decided at once, no others
   wait, and requests that are not expected to end by then are refused. */
void forwarder_drain(struct forwarder *forwarder, uint64_t stop_ms);

/* Resumes waiting requests after the directory has a new configuration. */
void forwarder_catalog_changed(struct forwarder *forwarder);

/* The handlers for callers_create(), with the forwarder as their data. */
extern const struct callers_handlers forwarder_handlers;

/* Whether this gateway can serve requests: it has a configuration and
   endpoints, and, if there are client accounts, the configuration is recent
   enough to accept keys, which may have been removed since. */
bool forwarder_is_ready(const struct forwarder *forwarder);

#endif
