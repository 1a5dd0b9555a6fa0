#ifndef ENTRY_SEEDS_H
#define ENTRY_SEEDS_H

/* Agents named in the settings, for an entry that starts while the platform
   is down: each is asked who it is, and is used as an endpoint, and as the
   source of the configuration, until the platform's list has come. */

struct link_identity;
struct loop;
struct members;
struct message;
struct seeds;

/* addresses: ip:port, NULL-terminated, checked; NULL: none. config is called
   with the configuration that a seed passes. */
struct seeds *
seeds_create(struct loop *loop, char **addresses,
             const struct link_identity *identity, struct members *members,
             void (*config)(void *data, const struct message *message),
             void *data);

/* The platform's list is here: the seeds are needed no more. */
void seeds_stop(struct seeds *seeds);

#endif
