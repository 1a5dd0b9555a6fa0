#ifndef IO_STORE_FOLLOW_H
#define IO_STORE_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

/* Follows the platform's key-value store on one thread, which lists and then
   watches the items under a prefix. A second thread keeps this process
   registered in the store by an item under a lease. Both retry with
   exponential backoff and jitter while the store is unreachable. They run
   until the process ends; store_follow_deregister() ends the second one. */

struct loop;
struct store_items;
struct store_ops;

struct store_follow_settings {
    const char *ip; /* of the store; the strings are copied */
    uint16_t port;
    const struct store_ops *ops;  /* borrowed */
    const char *prefix;           /* of the keys that are followed */
    uint32_t watch_wait_ms;       /* longest watch without changes */
    const char *registration_key; /* of the item that registers this process */
    const char *registration_value;
    /* A second item under the registration's lease, written before it; NULL:
       none. */
    const char *extra_key;
    const char *extra_value;
    uint32_t registration_ttl_ms; /* of the registration's lease */
    /* Written for a few seconds when a new era is found, before its items are
       reported, for processes that start then; NULL: not written. */
    const char *era_key;
};

/* Called on the loop thread. */
struct store_follow_handlers {
    /* Reports all items if full is set, otherwise those that have changed.
       They were the store's newest state at confirmed_ms, a time of
       loop_clock_ms(), or later. The items are freed after the call. */
    void (*items)(void *data, const struct store_items *items, bool full,
                  uint64_t confirmed_ms);
    /* Reports whether the store is reachable: when this process starts or
       resumes following it, and at each change. why is the error, or "" if
       the store is reachable. */
    void (*reachable)(void *data, bool reachable, const char *why);
};

struct store_follow;

struct store_follow *
store_follow_create(struct loop *loop,
                    const struct store_follow_settings *settings,
                    const struct store_follow_handlers *handlers, void *data);

/* This process's share of the work when a few processes follow the store for
   all. */
struct store_follow_role {
    bool active; /* whether this process follows the store */
    /* Revision of the store that this process has got from others, or 0. After
       its first list, it watches from this revision or from the latest one
       that it has seen in the store, whichever is higher. */
    uint64_t revision;
    /* Rank from 0 among the processes that follow the store. It spreads the
       ends of their watches over watch_wait_ms. */
    uint32_t rank;
    uint32_t follower_count; /* number of these processes, at least 1 */
};

/* Until the first call this process follows the store as the only one. */
void store_follow_set_role(struct store_follow *follow,
                           const struct store_follow_role *role);

/* Number of watches whose changes did not reach up to their revision. */
uint64_t store_follow_watch_gaps(const struct store_follow *follow);

/* Asks the registration thread to remove this process's registration, which it
   does when it would next renew it. Doesn't block. */
void store_follow_deregister(struct store_follow *follow);

#endif
