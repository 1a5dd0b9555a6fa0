#ifndef GATEWAY_PEERS_H
#define GATEWAY_PEERS_H

#include <stdbool.h>
#include <stdint.h>

/* Links between the gateways. Each connects to all others: over its own links
   it tells what it has running at the endpoints, asks how new the others'
   knowledge of the store is, and fetches it if theirs is newer. Loop thread
   only. */

struct directory;
struct endpoints;
struct link_identity;
struct loop;
struct peers;

struct peers_settings {
    const char *ip; /* where the others connect to */
    uint16_t port;
    char **seeds; /* "ip:port" of gateways to begin with */
    uint32_t
        min_load_interval_ms; /* least time between two tellings of the load */
};

/* Returns NULL if the address can't be listened on. */
struct peers *peers_create(struct loop *loop,
                           const struct peers_settings *settings,
                           const struct link_identity *identity,
                           struct directory *directory,
                           struct endpoints *endpoints);

/* The list of gateways has changed. */
void peers_list_changed(struct peers *peers);

/* What this gateway has running has changed: told soon. */
void peers_load_changed(struct peers *peers);

/* This gateway's place among those that may follow the store. Whether it has
   to follow it now: others do it for all, but it is one of them, or they have
   not told their news in time. Times are of loop_boot_ms(). */
uint32_t peers_follower_rank(const struct peers *peers);
bool peers_must_follow_store(const struct peers *peers, uint64_t now_ms);

/* How many gateways there are, this one counted. At least 1. */
uint32_t peers_count(const struct peers *peers);

#endif
