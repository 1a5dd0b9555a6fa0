#ifndef GATEWAY_CRASH_MONITOR_H
#define GATEWAY_CRASH_MONITOR_H

#include <stdbool.h>
#include <stdint.h>

/* Keeps requests away from endpoints that they would crash, see
   core/quarantine.h. When a connection breaks before the end of a response,
   the monitor checks whether the endpoint still accepts connections; if not,
   it reports the request, and the parts of a prompt without any event, to all
   gateways, through the store. Loop thread only. Times are of loop_now_ms().
 */

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

/* What of a request may crash endpoints. */
struct crash_suspects {
    const char *request; /* from request_digest() */
    char *const *parts;  /* shared parts of the prompt, NULL-terminated */
};

/* A connection to the endpoint broke, to which the request had been sent at
   sent_ms. answered: after the first event, which clears the parts. suspects
   are copied. */
void crash_monitor_record_broken(struct crash_monitor *monitor,
                                 struct endpoint *endpoint,
                                 const struct crash_suspects *suspects,
                                 uint64_t sent_ms, bool answered);

/* A prompt got an event. */
void crash_monitor_record_event(struct crash_monitor *monitor);

/* A request with these shared parts got its first event. */
void crash_monitor_record_served(struct crash_monitor *monitor,
                                 char *const *parts);

/* The whole response to a request has come. */
void crash_monitor_record_answered(struct crash_monitor *monitor,
                                   const char *request);

/* Applies a report or an announcement that was read from the store, or its
   removal. peers may be NULL during the start. */
void crash_monitor_apply(struct crash_monitor *monitor,
                         const struct store_item *item,
                         const struct peers *peers);

/* Announces the parts that reports suspect wrongly. Called every 100 ms. */
void crash_monitor_tick(struct crash_monitor *monitor);

/* Returns why a request is to be refused, a static text, and sets *left_ms to
   how long that will last without further crashes; NULL: it is not. One such
   request is let through now and then, by one of the gateways. */
const char *crash_monitor_refuses(struct crash_monitor *monitor,
                                  const struct crash_suspects *suspects,
                                  const struct peers *peers,
                                  uint32_t *left_ms);

/* Whether a request with these parts of a prompt would be refused for one of
   them, and for how long. Lets none through and logs nothing. */
bool crash_monitor_would_refuse(struct crash_monitor *monitor,
                                char *const *parts, const struct peers *peers,
                                uint32_t *left_ms);

/* Number of parts and requests under quarantine. */
uint32_t crash_monitor_count(struct crash_monitor *monitor);

#endif
