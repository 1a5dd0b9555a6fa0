#ifndef GATEWAY_DIRECTORY_STATE_H
#define GATEWAY_DIRECTORY_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/era_change.h"
#include "core/refused_items.h"
#include "gateway/directory.h"

/* The state of a directory, for the files that implement it: directory.c
   applies items, directory_query.c reads them, also for other gateways. */

enum {
    DIRECTORY_LISTS = 8
};

/* A list that has taken the copy from one revision to another: what was added
   and removed in between is not known. */
struct directory_list {
    uint64_t before;
    uint64_t revision;
};

struct directory_item {
    bool present;
    uint8_t *bytes; /* NULL: removed, or in the config_copy */
    size_t count;
    uint64_t revision;
    /* Revision of a delayed removal, after which the item is still in use;
       0: none. */
    uint64_t removal_revision;
    bool looked_up; /* evacuations: whether the data centre is known */
    /* Endpoints: what was known before the era goes on, since the registration
       may be an old one of the store's copy. */
    bool held;
};

struct directory {
    struct endpoints *endpoints;
    struct directory_handlers handlers;
    void *data;
    GHashTable *items; /* key to struct directory_item */
    struct catalog *catalog;
    struct config_copy *config;
    struct refused_items *refused; /* that were logged */
    bool config_failed; /* its patches; the copy lacks the newest one */
    bool config_unread; /* the newest one can't be read */
    uint64_t revision;
    /* Changes from a revision between two lists may lack removals. */
    uint64_t first_revision; /* of the era's first list */
    struct directory_list lists[DIRECTORY_LISTS];
    uint32_t list_count; /* since the first one; the latest ones are kept */
    uint64_t filled_ms;  /* when the copy got its first items; 0: not yet */
    uint64_t marked_ms;  /* confirmations before do not count; 0: all do */
    struct era_change era;
    uint64_t confirmed_ms;        /* 0: never */
    char *source;                 /* of the last confirmation; NULL: none */
    uint64_t config_confirmed_ms; /* of the configuration in force */
    uint64_t now_ms;              /* of the call in progress */
    bool following;               /* the store itself */
    bool store_reachable;
    uint64_t recovered_ms;      /* end of the store's last outage; 0: none */
    uint64_t ticked_ms;         /* 0: not yet */
    uint64_t resumed_ms;        /* end of the last suspension, or start */
    bool has_delayed_removals;  /* some item may have a removal_revision */
    bool has_held;              /* some item may be held */
    bool endpoints_state_start; /* most of the last list do */
    bool has_new_evacuations;   /* whose data centre was not looked up yet */
};

#endif
