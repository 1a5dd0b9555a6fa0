#ifndef ENTRY_CONFIG_LINKS_H
#define ENTRY_CONFIG_LINKS_H

#include <stddef.h>
#include <stdint.h>

/* Persistent links to the agents (processes that front an endpoint) that are
   assigned to this entry. They ensure that each agent gets every new
   configuration from an entry and doesn't have to read it from the platform.
   Rendezvous hashing (core/rendezvous.h) assigns each agent to a few entries.
   Loop thread only. */

struct agents;
struct config_links;
struct loop;
struct member;
struct members;

/* instance is this entry's. All arguments are borrowed for the process's
   life. */
struct config_links *config_links_create(struct loop *loop,
                                         const char *instance,
                                         struct members *members,
                                         struct agents *agents);

/* Sets the list of entries, and assigns the agents again to those that are not
   draining. The list is copied. */
void config_links_set_entries(struct config_links *links,
                              const struct member *list, size_t count);
/* Assigns the agents again after their list in members has changed. */
void config_links_agents_changed(struct config_links *links);

#endif
