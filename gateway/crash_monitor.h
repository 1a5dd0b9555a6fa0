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
struct peers;
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

/* A prompt got an event. */
void crash_monitor_record_event(struct crash_monitor *monitor);

/* A request with these shared parts got its first event. */
void crash_monitor_record_served(struct crash_monitor *monitor,
                                 char *const *parts);

/* Applies a report or an announcement that was read from the store, or its
   removal. peers may be NULL during the start. */
void crash_monitor_apply(struct crash_monitor *monitor,
                         const struct store_item *item,
                         const struct peers *peers);

/* Announces the parts that reports suspect wrongly. Called every 100 ms. */
void crash_monitor_tick(struct crash_monitor *monitor);

/* Returns whether a request with these shared parts is to be refused, and sets
   *left_ms to how long that will last without further crashes. One request
   with such a part is let through now and then, by one of the gateways. */
bool crash_monitor_refuses(struct crash_monitor *monitor, char *const *parts,
                           const struct peers *peers, uint32_t *left_ms);

/* Number of parts under quarantine. */
uint32_t crash_monitor_count(struct crash_monitor *monitor);

#endif
