#ifndef ENTRY_SEEDS_H
#define ENTRY_SEEDS_H

/* Agents (processes that front an endpoint) whose addresses are in the
   settings, for an entry that starts while the platform is down. The entry
   connects to each seed, whose hello, the first message of a link, contains
   its instance name. Until the platform's list arrives, the seeds serve as
   endpoints and as the source of the configuration. Loop thread only. */

struct link_identity;
struct loop;
struct members;
struct message;
struct seeds;

/* addresses is a NULL-terminated array of valid texts ip:port, or NULL for no
   seeds. identity is borrowed and read for each new connection. config
   is called, with data, for each configuration that a seed sends. */
struct seeds *
seeds_create(struct loop *loop, char **addresses,
             const struct link_identity *identity, struct members *members,
             void (*config)(void *data, const struct message *message),
             void *data);

/* Stops connecting to seeds; called when the platform's list has arrived. */
void seeds_stop(struct seeds *seeds);

#endif
