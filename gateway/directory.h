#ifndef GATEWAY_DIRECTORY_H
#define GATEWAY_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

/* What this gateway knows of the platform's store: the configuration, the
   endpoints and the other gateways, learnt from the store itself or handed on
   by another gateway, and since when it is known to be the newest. A version
   of the configuration is never replaced by an older one. Loop thread only.
   Times are of loop_boot_ms(), which counts suspensions too. */

struct catalog;
struct directory;
struct endpoints;
struct store_items;
struct _GPtrArray;

struct directory_handlers {
    /* The configuration is another one. */
    void (*catalog_changed)(void *data, struct catalog *catalog);
    /* The list of gateways has changed. */
    void (*gateways_changed)(void *data);
};

struct directory *directory_create(struct endpoints *endpoints,
                                   const struct directory_handlers *handlers,
                                   void *data);
void directory_destroy(struct directory *directory);

/* Takes items: all that the store holds, or changes. They were the newest at
   confirmed_ms or later. */
void directory_take(struct directory *directory,
                    const struct store_items *items, bool full,
                    uint64_t confirmed_ms, uint64_t now_ms);

/* Another gateway knows the store up to a revision, which was the newest at
   confirmed_ms or later. Returns false if this one knows less. */
bool directory_prove(struct directory *directory, uint64_t revision,
                     uint64_t confirmed_ms, uint64_t now_ms);

/* The store does not answer this gateway, or answers again. */
void directory_store_reachable(struct directory *directory, bool reachable);

/* Whether the store itself answers, so that its changes come from there: no
   later than max_age_ms. */
bool directory_is_followed(const struct directory *directory, uint64_t now_ms,
                           uint64_t max_age_ms);

/* Does what has become due. */
void directory_tick(struct directory *directory, uint64_t now_ms);

/* NULL as long as none is known. */
struct catalog *directory_catalog(const struct directory *directory);

/* Since when the store may have changed without being noticed here. */
uint64_t directory_age_ms(const struct directory *directory, uint64_t now_ms);

uint64_t directory_revision(const struct directory *directory);

/* What has changed after a revision, removals too, or all items (0), to be
   handed on. Free with store_items_destroy(). */
struct store_items *directory_items(const struct directory *directory,
                                    uint64_t since);

/* Addresses ("ip:port") of the gateways, this one among them. Free with
   g_ptr_array_free(). */
struct _GPtrArray *
directory_gateway_addresses(const struct directory *directory);

#endif
