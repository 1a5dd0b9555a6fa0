#ifndef IO_PLATFORM_WATCH_H
#define IO_PLATFORM_WATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Threads that follow the platform: one the head key of the configuration,
   one the list of instances. While the platform is down they try again with
   growing pauses, and what was learnt stays in force. */

struct loop;
struct member;
struct platform_watch;

struct platform_watch_handlers {
    /* A new configuration was published. Loop thread. */
    void (*config)(void *data, uint64_t now_ms);
    /* A new list; it is freed after the call. Loop thread. */
    void (*members)(void *data, const struct member *list, size_t count,
                    uint64_t now_ms);
};

/* service: name of the agents' service at the platform. */
struct platform_watch *platform_watch_start(
    struct loop *loop, const char *ip, uint16_t port, const char *service,
    const struct platform_watch_handlers *handlers, void *data);

/* Whether the last call to the platform was answered. Any thread. */
bool platform_watch_is_up(const struct platform_watch *watch);

/* The key of the configuration's head. */
#define PLATFORM_HEAD_KEY "dandelionfork/head"

#endif
