#ifndef GATEWAY_CRASH_MONITOR_H
#define GATEWAY_CRASH_MONITOR_H

#include <stdbool.h>
#include <stdint.h>

/* Keeps requests away from engines that their prompts would crash, see
   core/quarantine.h. When a connection breaks before the first event, the
   monitor checks whether the endpoint still accepts connections; if not, it
   reports the prompt's parts to all gateways, through the store. Loop thread
   only. Times are of loop_now_ms(). */

struct crash_monitor;
struct endpoint;
struct loop;
struct store_item;
struct store_writer;
struct upstreams;

struct crash_monitor_settings {
    const char *instance; /* of this gateway; borrowed */
    uint32_t period_ms;   /* see quarantine_create() */
};

/* Everything is borrowed for the process's life. */
struct crash_monitor *
crash_monitor_create(struct loop *loop, struct upstreams *upstreams,
                     struct store_writer *writer,
                     const struct crash_monitor_settings *settings);

/* A connection to the endpoint broke before the first event of a request with
   these shared parts, a NULL-terminated array that is copied. */
void crash_monitor_record_broken(struct crash_monitor *monitor,
                                 struct endpoint *endpoint,
                                 char *const *parts);

/* A request with these shared parts got an event. */
void crash_monitor_record_served(struct crash_monitor *monitor,
                                 char *const *parts);

/* Applies a report or an announcement that was read from the store. */
void crash_monitor_apply(struct crash_monitor *monitor,
                         const struct store_item *item);

/* Announces the parts that reports suspect wrongly. Called every 100 ms. */
void crash_monitor_tick(struct crash_monitor *monitor);

/* See quarantine_find() and quarantine_count(). */
const char *crash_monitor_find(struct crash_monitor *monitor,
                               char *const *parts, uint32_t *left_ms);
uint32_t crash_monitor_count(struct crash_monitor *monitor);

#endif
