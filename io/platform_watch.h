#ifndef IO_PLATFORM_WATCH_H
#define IO_PLATFORM_WATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Watches the platform's key-value service on threads of its own: the key of
   the current configuration, or the list of a service's instances. While the
   platform is unreachable, the threads retry with exponential backoff and
   jitter, and the last known state remains valid. They run until the process
   ends. */

struct loop;
struct member;

/* Address of the platform's key-value service. The ip is copied. */
struct platform_address {
    const char *ip;
    uint16_t port;
};

/* Publishes each new generation of the configuration, then calls published on
   the loop thread. Before each read the watching thread calls needed; while it
   returns false, as in a process that gets the configuration from others, the
   platform is not read. If needed is NULL, it is always read. */
void platform_watch_config(struct loop *loop,
                           const struct platform_address *address,
                           bool (*needed)(void *data),
                           void (*published)(void *data, uint64_t now_ms),
                           void *data);

/* Calls members on the loop thread with each list of the service's instances
   that the platform returns, changed or not. The list is freed after the
   call. */
void platform_watch_members(struct loop *loop,
                            const struct platform_address *address,
                            const char *service,
                            void (*members)(void *data,
                                            const struct member *list,
                                            size_t count, uint64_t now_ms),
                            void *data);

/* Key whose value is the current configuration. */
#define PLATFORM_HEAD_KEY "dandelionfork/head"

#endif
