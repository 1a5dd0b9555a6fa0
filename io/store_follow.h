#ifndef IO_STORE_FOLLOW_H
#define IO_STORE_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

/* Threads that follow the platform's store and keep this process's own entry
   in it. While the store is away they try again at spread pauses. */

struct loop;
struct store_items;
struct store_ops;

struct store_follow_settings {
    const char *ip; /* of the store; copied */
    uint16_t port;
    const struct store_ops *ops;
    const char *prefix;       /* of the items followed */
    uint32_t watch_wait_ms;   /* a watch without news is answered after it */
    const char *member_key;   /* of this process's entry */
    const char *member_value; /* what it says */
    uint32_t member_ttl_ms;   /* the entry's life without renewal */
};

/* Told on the loop thread. Times are of loop_boot_ms(). */
struct store_follow_handlers {
    /* All items (all), or those that changed. They say how the store was at
       proven_ms or later. The items are freed after the call. */
    void (*items)(void *data, const struct store_items *items, bool all,
                  uint64_t proven_ms);
    /* The store was lost, or answers again. */
    void (*reachable)(void *data, bool reachable, const char *why);
};

struct store_follow;

struct store_follow *
store_follow_create(struct loop *loop,
                    const struct store_follow_settings *settings,
                    const struct store_follow_handlers *handlers, void *data);

struct store_follow_turn {
    bool active; /* whether the store is followed, or left to others */
    /* When it is followed again, from which revision on. */
    uint64_t revision;
    /* Place among so many that follow it: their watches end in turns. */
    uint32_t place;
    uint32_t places; /* at least 1 */
};

/* At the start the store is followed, by this process alone. */
void store_follow_set_turn(struct store_follow *follow,
                           const struct store_follow_turn *turn);

/* Removes this process's entry, soon; returns at once. */
void store_follow_leave(struct store_follow *follow);

#endif
