#ifndef GATEWAY_DIRECTORY_H
#define GATEWAY_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

/* A gateway's local copy of the platform's store: the configuration, the
   endpoints and the other gateways. Items come from the store or from another
   gateway. The directory records when its copy was last confirmed to be the
   store's newest state. It never replaces a version of the configuration by an
   older one. Loop thread only. Times are in milliseconds of loop_clock_ms(),
   which includes the time for which the machine was suspended. */

struct catalog;
struct directory;
struct endpoints;
struct store_item;
struct store_items;
struct config_copy_settings;
struct _GPtrArray;

struct directory_handlers {
    /* A new configuration is in force. The directory owns the catalog; a
       handler that keeps it takes a reference. */
    void (*catalog_changed)(void *data, struct catalog *catalog);
    /* A gateway's registration or capacity was added, changed or removed. */
    void (*gateways_changed)(void *data);
    /* A crash report or the announcement of a served part was added, changed
       or removed (bytes is NULL). */
    void (*crash_item_changed)(void *data, const struct store_item *item);
    /* Whether a gateway of that data centre is known; NULL: none is. */
    bool (*is_gateway_data_centre)(void *data, const char *data_centre);
    /* The configuration of the copy is decoded, or has failed to be, and
       directory_may_send() may return true again. NULL: not called. */
    void (*config_settled)(void *data);
};

/* Borrows endpoints, which must outlive the directory, and copies the handlers
   and the settings, of how to decode the configuration. data is passed to each
   handler. */
struct directory *directory_create(struct endpoints *endpoints,
                                   const struct config_copy_settings *settings,
                                   const struct directory_handlers *handlers,
                                   void *data);
void directory_destroy(struct directory *directory);

/* Applies items read from the store, directly or through another gateway.
   full: the items are the store's whole content; otherwise they are changes.
   They were the store's newest state at confirmed_ms or later; source, "store"
   or a gateway's address, says who has confirmed that, and is copied. Nothing
   happens if their revision is below the directory's, or if they are changes
   of another era (core/store_revision.h). For some seconds after the first
   list of a new era nothing counts as confirmed, missing items are kept, and
   endpoints that had left or were draining stay so. A configuration among them
   is in force once it is decoded; see gateway/config_copy.h. */
void directory_apply(struct directory *directory,
                     const struct store_items *items, bool full,
                     uint64_t confirmed_ms, const char *source,
                     uint64_t now_ms);

/* Records that another gateway, source, has confirmed the given revision as
   the store's newest at confirmed_ms or later. Returns false, and changes
   nothing, if this directory is at an older revision, has none, or lacks the
   configuration. */
bool directory_confirm(struct directory *directory, uint64_t revision,
                       uint64_t confirmed_ms, const char *source,
                       uint64_t now_ms);

/* Records whether this gateway follows the store itself, as it does at first.
   From then on the store has yet to answer it. */
void directory_set_following(struct directory *directory, bool following);

/* Records whether the store answers this gateway. A watch that ends after the
   gateway has left the store to others counts for nothing. */
void directory_set_store_reachable(struct directory *directory,
                                   bool reachable);

/* Whether this gateway follows the store, the store answers it, and the copy
   was confirmed less than max_age_ms ago, so that changes need not be fetched
   from other gateways. */
bool directory_follows_store(const struct directory *directory,
                             uint64_t now_ms, uint64_t max_age_ms);

/* Whether the process has started or was suspended so recently that a newer
   state than its copy, which is older than max_age_ms, is likely to arrive
   soon. False once that time is over. */
bool directory_is_catching_up(const struct directory *directory,
                              uint64_t now_ms, uint64_t max_age_ms);

/* Applies delayed removals that are due. Called every 100 ms. */
void directory_tick(struct directory *directory, uint64_t now_ms);

/* The configuration in force, owned by the directory; NULL before the first
   one. */
struct catalog *directory_catalog(const struct directory *directory);

/* How long ago the copy was last confirmed as newest; UINT64_MAX: never. The
   store may have changed since. */
uint64_t directory_age_ms(const struct directory *directory, uint64_t now_ms);

/* Whether the store has just come back from an older copy, so that nothing
   confirms this one yet. */
bool directory_is_new_era(const struct directory *directory, uint64_t now_ms);

/* The age to tell other gateways: UINT64_MAX at the beginning of an era, since
   this copy's confirmation is that of an earlier one. */
uint64_t directory_shared_age_ms(const struct directory *directory,
                                 uint64_t now_ms);

/* How long ago the configuration in force was last confirmed as newest. It is
   above the copy's age while a newer one is decoded or lacking. */
uint64_t directory_config_age_ms(const struct directory *directory,
                                 uint64_t now_ms);

/* How long ago the configuration in force was last known to have all routes
   and keys: its age, but UINT64_MAX while the newest one can't be read. */
uint64_t directory_complete_age_ms(const struct directory *directory,
                                   uint64_t now_ms);

/* Who has confirmed the copy last: "store", a gateway's address, or "-". */
const char *directory_source(const struct directory *directory);

/* How often the store has come back from an older copy of itself. */
uint32_t directory_era_changes(const struct directory *directory);

/* The store's revision that the copy stands for; 0: nothing was read yet. */
uint64_t directory_revision(const struct directory *directory);

/* The revision after which changes are asked for. It is below that of the copy
   if patches of the configuration have failed. */
uint64_t directory_ask_revision(const struct directory *directory);

/* Revision of the configuration that others may send patches against; 0: they
   have to send the whole item. */
uint64_t directory_config_base(const struct directory *directory);

/* Whether patches of the configuration have failed, so that another gateway
   has to send the whole item. */
bool directory_lacks_config(const struct directory *directory);

/* Whether the copy is complete. It is not while a configuration is decoded. */
bool directory_may_send(const struct directory *directory);

/* The revision from which directory_items_since() can tell the changes, since
   or 0. What was removed before this copy's first list, or between two lists,
   is not known, nor what a copy of another era has. */
uint64_t directory_since(const struct directory *directory, uint64_t since);

/* The items to send to another gateway: those that changed after revision
   since, with removals, or all present items if since is 0. The configuration
   is sent as patches against the revision config_base, if they are known and
   it isn't 0. Free with store_items_destroy(). */
struct store_items *directory_items_since(const struct directory *directory,
                                          uint64_t since,
                                          uint64_t config_base);

/* The addresses ("ip:port", char *) of all gateways in the store, including
   this one. Free with g_ptr_array_free(). */
struct _GPtrArray *
directory_gateway_addresses(const struct directory *directory);

/* Class of the machine of the gateway with that address, see
   core/followers.h; 0: not known. */
uint32_t directory_gateway_capacity(const struct directory *directory,
                                    const char *address);

#endif
