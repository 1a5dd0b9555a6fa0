#ifndef GATEWAY_PEERS_H
#define GATEWAY_PEERS_H

#include <stdbool.h>
#include <stdint.h>

/* Links between gateways. Each gateway connects to all others. Over the links
   that it opened it sends its load at the endpoints, asks for the revision and
   age of the peer's copy of the store, and fetches a snapshot if the peer's is
   newer. Loop thread only. */

struct directory;
struct endpoints;
struct link_identity;
struct loop;
struct peers;

struct peers_settings {
    const char *ip; /* address that other gateways connect to */
    uint16_t port;
    char **seeds; /* "ip:port" of gateways, used until the list is known */
    uint32_t min_load_interval_ms; /* between two load messages */
};

/* Listens for other gateways and connects to the seeds. identity, directory
   and endpoints are borrowed for the process's life; settings are copied.
   Returns NULL with errno if it can't listen. */
struct peers *peers_create(struct loop *loop,
                           const struct peers_settings *settings,
                           const struct link_identity *identity,
                           struct directory *directory,
                           struct endpoints *endpoints);

/* Reads the list of gateways from the directory again, from a timer of the
   loop that is due immediately. */
void peers_list_changed(struct peers *peers);

/* Schedules a load message to all peers after this gateway's load changed. */
void peers_load_changed(struct peers *peers);

/* A few gateways follow the store on behalf of all; the others get its changes
   from them. Returns this gateway's rank, from 0: those of the lowest ranks
   follow. */
uint32_t peers_follower_rank(const struct peers *peers);

/* Whether this gateway has to follow the store now, because of its rank or
   because no peer has confirmed the directory's revision, or sent a newer one,
   in time. now_ms is of loop_clock_ms(). */
bool peers_must_follow_store(const struct peers *peers, uint64_t now_ms);

/* The addresses of this gateway, and of all gateways in the store (char *).
   Borrowed, the latter until the list changes. */
const char *peers_own_address(const struct peers *peers);
const struct _GPtrArray *peers_addresses(const struct peers *peers);

/* Place of this gateway, from 0, in the order of all gateways for a key, by
   rendezvous hashing. */
uint32_t peers_rank(const struct peers *peers, const char *key);

/* The number of gateways, including this one; at least 1. */
uint32_t peers_count(const struct peers *peers);

/* Whether this gateway, or one that it has connected to, is in that data
   centre. */
bool peers_has_data_centre(const struct peers *peers, const char *data_centre);

/* Place of this gateway, from 0, among the gateways of its data centre in the
   order of their addresses. Sets *count to their number, this one included. */
uint32_t peers_local_rank(const struct peers *peers, uint32_t *count);

#endif
