#ifndef ENTRY_HOME_LINKS_H
#define ENTRY_HOME_LINKS_H

#include <stddef.h>
#include <stdint.h>

/* Keeps links to the agents whose home this entry is, so that they get each
   new configuration from us and leave the platform alone. */

struct agents;
struct home_links;
struct loop;
struct member;
struct members;

struct home_links *home_links_create(struct loop *loop, const char *instance,
                                     struct members *members,
                                     struct agents *agents);

/* A new list of entries, or of agents (already taken by members). */
void home_links_entries(struct home_links *homes, const struct member *list,
                        size_t count);
void home_links_agents_changed(struct home_links *homes);

#endif
