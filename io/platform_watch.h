#ifndef IO_PLATFORM_WATCH_H
#define IO_PLATFORM_WATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Threads that follow the platform: the head key of the configuration, or a
   list of instances. While the platform is down they try again with growing,
   spread pauses, and what was learnt stays in force. */

struct loop;
struct member;

/* Where the platform's service is. The ip is copied. */
struct platform_address {
    const char *ip;
    uint16_t port;
};

/* Publishes each new generation, then calls published on the loop thread.
   needed (NULL: always) is asked on the thread itself before each read: a
   process that others keep informed leaves the platform alone. */
void platform_watch_config(struct loop *loop,
                           const struct platform_address *address,
                           bool (*needed)(void *data),
                           void (*published)(void *data, uint64_t now_ms),
                           void *data);

/* Calls members on the loop thread with each new list of a service; it is
   freed after the call. */
void platform_watch_members(struct loop *loop,
                            const struct platform_address *address,
                            const char *service,
                            void (*members)(void *data,
                                            const struct member *list,
                                            size_t count, uint64_t now_ms),
                            void *data);

/* The key of the configuration's head. */
#define PLATFORM_HEAD_KEY "dandelionfork/head"

#endif
