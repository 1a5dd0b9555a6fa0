#include "operator/apply.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/config_head.h"
#include "core/tables.h"
#include "io/loop.h"
#include "io/platform_watch.h"
#include "io/store.h"
#include "operator/audit.h"
#include "operator/edit.h"
#include "operator/fleet_status.h"
#include "operator/print.h"

enum {
    MAX_APPLY_ATTEMPTS = 50, /* if other operators write at the same time */
    MAX_WRITE_ATTEMPTS = 40, /* until a write is known to be done or not */
    WRITE_RETRY_PAUSE_US = 250 * 1000,
    STATUS_POLL_PAUSE_US = 200 * 1000,
};

/* One run of apply or diff. */
struct apply {
    const struct options *options;
    struct store *store;
    struct edit edit;
    struct config_head *head;
    uint64_t head_index;    /* modification index of head */
    struct tables *current; /* in force */
    struct tables *merged;
    GPtrArray *differences;
    char *merged_routes; /* texts of merged */
    char *merged_pools;
    struct config_change change;
    bool maybe_written; /* the outcome of a write is unknown */
};

/* An invalid head is an error, not an empty head, so that it is never
   overwritten. */
enum operator_exit
apply_read_head(struct store *store, struct config_head **head,
                uint64_t *index)
{
    struct store_value value;
    GError *error = NULL;

    *head = NULL;
    if (!store_get(store, PLATFORM_HEAD_KEY, 0, 0, &value, &error)) {
        fprintf(stderr, "dandelionfork: %s\n", error->message);
        g_error_free(error);
        return OPERATOR_STORE_UNAVAILABLE;
    }
    *index = value.index;
    *head = value.bytes == NULL ? config_head_create()
                                : config_head_decode(value.bytes, value.count);
    store_value_clear(&value);
    if (*head == NULL) {
        fprintf(stderr, "dandelionfork: the configuration in the platform's "
                        "key-value service is not valid\n");
        return OPERATOR_REFUSED;
    }
    return OPERATOR_OK;
}

static void
clear_attempt(struct apply *apply)
{
    g_clear_pointer(&apply->head, config_head_destroy);
    g_clear_pointer(&apply->current, tables_destroy);
    g_clear_pointer(&apply->merged, tables_destroy);
    g_clear_pointer(&apply->differences, g_ptr_array_unref);
    g_clear_pointer(&apply->merged_routes, g_free);
    g_clear_pointer(&apply->merged_pools, g_free);
    g_clear_pointer(&apply->change.difference, g_free);
}

static void
clear_apply(struct apply *apply)
{
    clear_attempt(apply);
    edit_clear(&apply->edit);
    g_free(apply->change.id);
    g_free(apply->change.author);
    g_free(apply->change.time);
}

static void
init_change(struct apply *apply)
{
    GDateTime *now = g_date_time_new_now_utc();

    apply->change.id = apply->options->change_id != NULL
                           ? g_strdup(apply->options->change_id)
                           : g_uuid_string_random();
    apply->change.author = g_strdup(apply->options->author);
    apply->change.time = g_date_time_format_iso8601(now);
    apply->change.base = apply->edit.base;
    g_date_time_unref(now);
}

static char *
change_key(const char *change_id)
{
    return g_strconcat("dandelionfork/changes/", change_id, NULL);
}

/* Reads the tables of the generation that was edited. If they can't be read or
   are no longer known, returns NULL and sets *status. */
static struct tables *
read_base(struct apply *apply, enum operator_exit *status)
{
    const struct config_change *change;
    struct store_value value;
    struct config_head *base;
    struct tables *tables = NULL;
    GError *error = NULL;
    char *key;

    *status = OPERATOR_REFUSED;
    if (apply->edit.base == 0) {
        return tables_create(NULL, NULL);
    }
    change = config_head_find_generation(apply->head, apply->edit.base);
    if (change == NULL) {
        return NULL;
    }
    key = change_key(change->id);
    if (!store_get(apply->store, key, 0, 0, &value, &error)) {
        fprintf(stderr, "dandelionfork: %s\n", error->message);
        g_error_free(error);
        *status = OPERATOR_STORE_UNAVAILABLE;
    }
    else if (value.bytes != NULL) {
        base = config_head_decode(value.bytes, value.count);
        if (base != NULL) {
            tables = tables_create(base->routes, base->pools);
        }
        config_head_destroy(base);
        store_value_clear(&value);
    }
    g_free(key);
    return tables;
}

static void
record_refusal(struct apply *apply, const char *why)
{
    GError *error = NULL;

    if (apply->options->dry_run || apply->options->command != COMMAND_APPLY) {
        return;
    }
    if (!audit_append_refusal(apply->store, apply->head, &apply->change, why,
                              &error)) {
        fprintf(stderr,
                "dandelionfork: can't write the refusal to the audit "
                "trail: %s\n",
                error != NULL ? error->message : "too many concurrent writes");
        g_clear_error(&error);
    }
}

static enum operator_exit
merge_edit(struct apply *apply)
{
    enum operator_exit status;
    GPtrArray *conflicts = NULL;
    struct tables *base;

    if (apply->edit.base == apply->head->generation) {
        apply->merged = tables_create(apply->edit.routes, apply->edit.pools);
        return OPERATOR_OK;
    }
    base = read_base(apply, &status);
    if (base == NULL) {
        if (status == OPERATOR_REFUSED) {
            fprintf(stderr,
                    "dandelionfork: generation %" PRIu64 " is no longer "
                    "known; start again from generation %" PRIu64 " (show)\n",
                    apply->edit.base, apply->head->generation);
            record_refusal(apply, "unknown base");
        }
        return status;
    }
    apply->merged =
        tables_merge(base, apply->edit.tables, apply->current, &conflicts);
    tables_destroy(base);
    if (apply->merged == NULL) {
        print_conflicts(conflicts, apply->options->json);
        record_refusal(apply, "conflict");
    }
    g_ptr_array_unref(conflicts);
    return apply->merged != NULL ? OPERATOR_OK : OPERATOR_REFUSED;
}

/* Reads the tables in force and merges the edit with them. Leaves differences
   NULL if the head already has a change with this id. */
static enum operator_exit
read_and_merge(struct apply *apply)
{
    enum operator_exit status;

    clear_attempt(apply);
    status = apply_read_head(apply->store, &apply->head, &apply->head_index);
    if (status != OPERATOR_OK) {
        return status;
    }
    if (config_head_find_change(apply->head, apply->change.id) != NULL) {
        return OPERATOR_OK;
    }
    if (!apply->edit.has_base && apply->head->generation == 0) {
        apply->edit.has_base = true;
    }
    if (!apply->edit.has_base) {
        fprintf(stderr,
                "dandelionfork: the edit names no base generation: "
                "--base N, or \"# generation = N\" in %s\n",
                apply->options->routes_file);
        return OPERATOR_USAGE;
    }
    apply->current = tables_create(apply->head->routes, apply->head->pools);
    status = merge_edit(apply);
    if (status != OPERATOR_OK) {
        return status;
    }
    apply->differences = tables_compare(apply->current, apply->merged);
    apply->change.difference = print_summary(apply->differences);
    apply->merged_routes = tables_text(apply->merged, TABLE_ROUTES);
    apply->merged_pools = tables_text(apply->merged, TABLE_POOLS);
    if (!edit_validate(apply->merged_routes, "merged routes",
                       apply->merged_pools, "merged pools")) {
        record_refusal(apply, "the merged tables are wrong");
        return OPERATOR_REFUSED;
    }
    return OPERATOR_OK;
}

enum operator_exit
apply_diff(const struct options *options, struct store *store)
{
    struct apply apply = {.options = options, .store = store};
    enum operator_exit status = edit_read(options, &apply.edit);

    if (status == OPERATOR_OK) {
        status = read_and_merge(&apply);
    }
    if (status == OPERATOR_OK) {
        print_differences(apply.differences, options->json);
        if (!options->json) {
            print_moved_requests(apply.current, apply.merged);
        }
    }
    clear_apply(&apply);
    return status;
}

/* Writes the tables of this change under a key of their own, as the base of
   later merges. No head refers to them yet, so they may overwrite what an
   earlier attempt has left. */
static bool
write_change_tables(struct apply *apply, const char *text)
{
    char *key = change_key(apply->change.id);
    GError *error = NULL;
    uint64_t index = 0;
    bool written = false;

    for (int i = 0; i < MAX_WRITE_ATTEMPTS && !written; i++) {
        struct store_value found;
        enum store_write_result result;

        g_clear_error(&error);
        result =
            store_put(apply->store, key, text, strlen(text), index, &error);
        written = result == STORE_WRITTEN;
        if (result == STORE_FAILED && error->code == STORE_ERROR_UNAVAILABLE) {
            break;
        }
        if (!written && store_get(apply->store, key, 0, 0, &found, NULL)) {
            written = g_strcmp0(found.bytes, text) == 0;
            index = found.index;
            store_value_clear(&found);
        }
    }
    if (!written) {
        fprintf(stderr, "dandelionfork: nothing was written: %s\n",
                error != NULL ? error->message : "too many concurrent writes");
    }
    g_clear_error(&error);
    g_free(key);
    return written;
}

/* Sets *known to whether the head could be read. */
static bool
is_in_head(struct apply *apply, bool *known)
{
    struct config_head *head;
    uint64_t index;
    bool found = false;

    *known = apply_read_head(apply->store, &head, &index) == OPERATOR_OK;
    if (*known) {
        found = config_head_find_change(head, apply->change.id) != NULL;
    }
    config_head_destroy(head);
    return found;
}

enum head_write {
    HEAD_WRITTEN,
    HEAD_CONFLICT, /* another operator has written the head */
    HEAD_NOT_WRITTEN,
    HEAD_UNKNOWN, /* perhaps written */
};

/* Writes the head by a compare-and-swap. If the outcome is unknown, looks for
   the change in the head and repeats the write with the same index, so that it
   takes effect at most once. */
static enum head_write
write_head(struct apply *apply, const char *text)
{
    for (int i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
        GError *error = NULL;
        enum store_write_result result =
            store_put(apply->store, PLATFORM_HEAD_KEY, text, strlen(text),
                      apply->head_index, &error);
        bool known = true;

        if (result == STORE_WRITTEN) {
            return HEAD_WRITTEN;
        }
        if (error != NULL && error->code == STORE_ERROR_UNKNOWN) {
            apply->maybe_written = true;
        }
        if (error != NULL && !apply->maybe_written) {
            fprintf(stderr, "dandelionfork: %s\n", error->message);
            g_error_free(error);
            return HEAD_NOT_WRITTEN;
        }
        g_clear_error(&error);
        if (is_in_head(apply, &known)) {
            return HEAD_WRITTEN;
        }
        if (result == STORE_CONFLICT && known) {
            return HEAD_CONFLICT;
        }
        usleep(WRITE_RETRY_PAUSE_US);
    }
    return HEAD_UNKNOWN;
}

/* Processes take later generations only. If the store has come back from an
   older copy of itself, some have a generation that it lacks, which the change
   must not get a second time: they would not take it. Sets *latest to the
   latest generation of the processes. Returns false if their list can't be
   read. */
static bool
read_latest_generation(const struct apply *apply, uint64_t *latest)
{
    GError *error = NULL;
    GPtrArray *processes =
        fleet_status_read(apply->options, apply->store, &error);

    if (processes == NULL) {
        fprintf(stderr, "dandelionfork: %s\n", error->message);
        g_error_free(error);
        return false;
    }
    *latest = fleet_status_latest(processes);
    g_ptr_array_unref(processes);
    return true;
}

static void
report_lost_generations(uint64_t stored, uint64_t latest)
{
    if (latest > stored) {
        fprintf(stderr,
                "dandelionfork: generation %" PRIu64 " was in force, and the "
                "store had come back with generation %" PRIu64 ": changes "
                "after that are lost and have to be applied again\n",
                latest, stored);
    }
}

static enum head_write
write_change(struct apply *apply)
{
    enum head_write written = HEAD_NOT_WRITTEN;
    uint64_t stored = apply->head->generation;
    uint64_t latest;
    GError *error = NULL;
    char *text;

    /* A full head drops its oldest change, which must be in the audit trail
       by then. */
    if (!audit_append_missing(apply->store, apply->head, &error) &&
        apply->head->changes->len >= CONFIG_HEAD_MAX_CHANGES) {
        fprintf(stderr,
                "dandelionfork: can't write the audit trail: "
                "%s\n",
                error != NULL ? error->message : "too many concurrent writes");
        g_clear_error(&error);
        return HEAD_NOT_WRITTEN;
    }
    g_clear_error(&error);
    if (!read_latest_generation(apply, &latest)) {
        return HEAD_NOT_WRITTEN;
    }
    apply->head->generation = MAX(stored, latest);
    config_head_advance(apply->head, &apply->change, apply->merged_routes,
                        apply->merged_pools);
    text = config_head_encode(apply->head);
    if (strlen(text) > CONFIG_HEAD_MAX_BYTES) {
        fprintf(stderr,
                "dandelionfork: the tables are too large: %zu bytes "
                "of %d\n",
                strlen(text), CONFIG_HEAD_MAX_BYTES);
    }
    else if (write_change_tables(apply, text)) {
        written = write_head(apply, text);
    }
    if (written == HEAD_WRITTEN) {
        /* Otherwise another operator may have written a later one. */
        report_lost_generations(stored, latest);
    }
    free(text);
    return written;
}

static enum operator_exit
wait_until_in_force(struct apply *apply)
{
    const struct options *options = apply->options;
    uint64_t generation = apply->head->generation;
    uint64_t end_ms = loop_clock_ms() + options->timeout_ms;
    uint32_t last_count = UINT32_MAX;

    for (;;) {
        GError *error = NULL;
        GPtrArray *processes =
            fleet_status_read(options, apply->store, &error);
        uint32_t count =
            processes != NULL ? fleet_status_count(processes, generation) : 0;
        bool all = processes != NULL && count == processes->len;
        bool timed_out = loop_clock_ms() >= end_ms;

        if (processes != NULL && count != last_count && !options->json) {
            printf("in force at %u of %u processes\n", count, processes->len);
        }
        last_count = count;
        if ((all || timed_out) && processes != NULL) {
            if (!all || options->json) {
                fleet_status_print(processes, generation, options->json);
            }
        }
        if (processes != NULL) {
            g_ptr_array_unref(processes);
        }
        g_clear_error(&error);
        if (all || timed_out) {
            return all ? OPERATOR_OK : OPERATOR_NOT_IN_FORCE;
        }
        usleep(STATUS_POLL_PAUSE_US);
    }
}

static enum operator_exit
finish_accepted(struct apply *apply)
{
    struct config_head *head;
    const struct config_change *change;
    uint64_t index;
    GError *error = NULL;

    if (apply_read_head(apply->store, &head, &index) == OPERATOR_OK) {
        change = config_head_find_change(head, apply->change.id);
        if (change != NULL) {
            apply->head->generation = change->generation;
        }
        if (!audit_append_missing(apply->store, head, &error)) {
            fprintf(stderr,
                    "dandelionfork: can't add this change to the audit "
                    "trail; the next change adds it\n");
            g_clear_error(&error);
        }
        config_head_destroy(head);
    }
    if (!apply->options->json) {
        printf("accepted as generation %" PRIu64 ", change %s\n",
               apply->head->generation, apply->change.id);
    }
    edit_update_headers(apply->options, apply->head->generation);
    if (apply->options->timeout_ms == 0) {
        return OPERATOR_OK;
    }
    return wait_until_in_force(apply);
}

static enum operator_exit
report_unknown(const struct apply *apply)
{
    fprintf(stderr,
            "dandelionfork: it is unknown whether change %s was written; "
            "check with: dandelionfork history --change %s\n",
            apply->change.id, apply->change.id);
    return OPERATOR_UNKNOWN;
}

static enum operator_exit
try_apply(struct apply *apply, bool *retry)
{
    enum operator_exit status = read_and_merge(apply);

    if (status == OPERATOR_STORE_UNAVAILABLE && apply->maybe_written) {
        return report_unknown(apply);
    }
    if (status != OPERATOR_OK) {
        return status;
    }
    if (apply->differences == NULL) {
        /* The head has a change with this id, so an earlier write of this
           change has taken effect. */
        return finish_accepted(apply);
    }
    if (apply->differences->len == 0) {
        printf("nothing to change; generation %" PRIu64 " is in force\n",
               apply->head->generation);
        return OPERATOR_OK;
    }
    if (apply->options->dry_run) {
        print_differences(apply->differences, apply->options->json);
        return OPERATOR_OK;
    }
    switch (write_change(apply)) {
    case HEAD_WRITTEN:
        return finish_accepted(apply);
    case HEAD_CONFLICT:
        *retry = true;
        return OPERATOR_REFUSED;
    case HEAD_NOT_WRITTEN:
        return OPERATOR_STORE_UNAVAILABLE;
    case HEAD_UNKNOWN:
        break;
    }
    return report_unknown(apply);
}

enum operator_exit
apply_run(const struct options *options, struct store *store)
{
    struct apply apply = {.options = options, .store = store};
    enum operator_exit status = edit_read(options, &apply.edit);
    bool retry = status == OPERATOR_OK;

    if (retry) {
        init_change(&apply);
    }
    for (int i = 0; i < MAX_APPLY_ATTEMPTS && retry; i++) {
        retry = false;
        status = try_apply(&apply, &retry);
    }
    if (retry) {
        fprintf(stderr, "dandelionfork: too many concurrent writes by other "
                        "operators; nothing was written\n");
    }
    clear_apply(&apply);
    return status;
}
