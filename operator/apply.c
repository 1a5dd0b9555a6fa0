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
    MAX_ROUNDS = 50,      /* of a race with other operators */
    MAX_UNCONFIRMED = 40, /* tries to learn what became of a write */
    UNCONFIRMED_PAUSE_US = 250 * 1000,
    PROGRESS_PAUSE_US = 200 * 1000,
};

/* One run of apply or diff. */
struct apply {
    const struct options *options;
    struct store *store;
    struct edit edit;
    struct config_head *head;
    uint64_t index; /* of the head that was read */
    struct tables *current;
    struct tables *merged;
    GPtrArray *differences;
    char *routes; /* merged, as text */
    char *pools;
    struct config_change change;
    bool maybe_written; /* a write was not confirmed */
};

/* A head that is there but can't be read is nobody's to overwrite. */
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
        return OPERATOR_STORE_DOWN;
    }
    *index = value.index;
    *head = value.bytes == NULL ? config_head_create()
                                : config_head_decode(value.bytes, value.count);
    store_value_clear(&value);
    if (*head == NULL) {
        fprintf(stderr, "dandelionfork: the head in the platform's service "
                        "can't be read\n");
        return OPERATOR_REFUSED;
    }
    return OPERATOR_OK;
}

static void
clear_round(struct apply *apply)
{
    g_clear_pointer(&apply->head, config_head_destroy);
    g_clear_pointer(&apply->current, tables_destroy);
    g_clear_pointer(&apply->merged, tables_destroy);
    g_clear_pointer(&apply->differences, g_ptr_array_unref);
    g_clear_pointer(&apply->routes, g_free);
    g_clear_pointer(&apply->pools, g_free);
    g_clear_pointer(&apply->change.difference, g_free);
}

static void
clear_apply(struct apply *apply)
{
    clear_round(apply);
    edit_clear(&apply->edit);
    g_free(apply->change.id);
    g_free(apply->change.author);
    g_free(apply->change.time);
}

static void
fill_change(struct apply *apply)
{
    GDateTime *now = g_date_time_new_now_utc();

    apply->change.id = apply->options->change != NULL
                           ? g_strdup(apply->options->change)
                           : g_uuid_string_random();
    apply->change.author = g_strdup(apply->options->author);
    apply->change.time = g_date_time_format_iso8601(now);
    apply->change.base = apply->edit.base;
    g_date_time_unref(now);
}

static char *
tables_key(const char *change_id)
{
    return g_strconcat("dandelionfork/changes/", change_id, NULL);
}

/* The tables of the generation that the edit began with. */
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
    key = tables_key(change->id);
    if (!store_get(apply->store, key, 0, 0, &value, &error)) {
        fprintf(stderr, "dandelionfork: %s\n", error->message);
        g_error_free(error);
        *status = OPERATOR_STORE_DOWN;
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
    if (!audit_refused(apply->store, apply->head, &apply->change, why,
                       &error)) {
        fprintf(stderr,
                "dandelionfork: the refusal is not in the audit "
                "trail: %s\n",
                error != NULL ? error->message : "no room");
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
                    "dandelionfork: generation %" PRIu64 " is not known any "
                    "more; begin again from generation %" PRIu64 " (show)\n",
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

/* Reads what is in force and merges the edit with it. */
static enum operator_exit
prepare(struct apply *apply)
{
    enum operator_exit status;

    clear_round(apply);
    status = apply_read_head(apply->store, &apply->head, &apply->index);
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
    apply->routes = tables_text(apply->merged, TABLE_ROUTES);
    apply->pools = tables_text(apply->merged, TABLE_POOLS);
    if (!edit_validate(apply->routes, "merged routes", apply->pools,
                       "merged pools")) {
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
        status = prepare(&apply);
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

/* Keeps the tables of this change, for merges that begin with it. No head
   names them yet, so that what an earlier try has left may be overwritten. */
static bool
keep_tables(struct apply *apply, const char *text)
{
    char *key = tables_key(apply->change.id);
    GError *error = NULL;
    uint64_t index = 0;
    bool kept = false;

    for (int i = 0; i < MAX_UNCONFIRMED && !kept; i++) {
        struct store_value found;
        enum store_write_result result;

        g_clear_error(&error);
        result =
            store_put(apply->store, key, text, strlen(text), index, &error);
        kept = result == STORE_WRITTEN;
        if (result == STORE_FAILED && error->code == STORE_ERROR_UNAVAILABLE) {
            break;
        }
        if (!kept && store_get(apply->store, key, 0, 0, &found, NULL)) {
            kept = g_strcmp0(found.bytes, text) == 0;
            index = found.index;
            store_value_clear(&found);
        }
    }
    if (!kept) {
        fprintf(stderr, "dandelionfork: nothing was written: %s\n",
                error != NULL ? error->message : "too many others write");
    }
    g_clear_error(&error);
    g_free(key);
    return kept;
}

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

enum written {
    WRITTEN,
    RACED,
    NOT_WRITTEN,
    PERHAPS_WRITTEN
};

/* One compare-and-swap; an unconfirmed one is repeated with the same version,
   so that it takes effect once at most, and looked for in the head. */
static enum written
write_head(struct apply *apply, const char *text)
{
    for (int i = 0; i < MAX_UNCONFIRMED; i++) {
        GError *error = NULL;
        enum store_write_result result =
            store_put(apply->store, PLATFORM_HEAD_KEY, text, strlen(text),
                      apply->index, &error);
        bool known = true;

        if (result == STORE_WRITTEN) {
            return WRITTEN;
        }
        if (error != NULL && error->code == STORE_ERROR_UNKNOWN) {
            apply->maybe_written = true;
        }
        if (error != NULL && !apply->maybe_written) {
            fprintf(stderr, "dandelionfork: %s\n", error->message);
            g_error_free(error);
            return NOT_WRITTEN;
        }
        g_clear_error(&error);
        if (is_in_head(apply, &known)) {
            return WRITTEN;
        }
        if (result == STORE_CONFLICT && known) {
            return RACED;
        }
        usleep(UNCONFIRMED_PAUSE_US);
    }
    return PERHAPS_WRITTEN;
}

static enum written
write_once(struct apply *apply)
{
    enum written written = NOT_WRITTEN;
    GError *error = NULL;
    char *text;

    /* What the head is about to forget must be in the trail. */
    if (!audit_catch_up(apply->store, apply->head, &error) &&
        apply->head->changes->len >= CONFIG_HEAD_MAX_CHANGES) {
        fprintf(stderr,
                "dandelionfork: the audit trail can't be written: "
                "%s\n",
                error != NULL ? error->message : "no room");
        g_clear_error(&error);
        return NOT_WRITTEN;
    }
    g_clear_error(&error);
    config_head_advance(apply->head, &apply->change, apply->routes,
                        apply->pools);
    text = config_head_encode(apply->head);
    if (strlen(text) > CONFIG_HEAD_MAX_BYTES) {
        fprintf(stderr,
                "dandelionfork: the tables are too large: %zu bytes "
                "of %d\n",
                strlen(text), CONFIG_HEAD_MAX_BYTES);
    }
    else if (keep_tables(apply, text)) {
        written = write_head(apply, text);
    }
    free(text);
    return written;
}

static enum operator_exit
wait_in_force(struct apply *apply)
{
    const struct options *options = apply->options;
    uint64_t generation = apply->head->generation;
    uint64_t end_ms = loop_monotonic_ms() + options->timeout_ms;
    uint32_t last = UINT32_MAX;

    for (;;) {
        GError *error = NULL;
        GPtrArray *processes =
            fleet_status_read(options, apply->store, &error);
        uint32_t count =
            processes != NULL ? fleet_status_count(processes, generation) : 0;
        bool all = processes != NULL && count == processes->len;
        bool over = loop_monotonic_ms() >= end_ms;

        if (processes != NULL && count != last && !options->json) {
            printf("in force at %u of %u processes\n", count, processes->len);
        }
        last = count;
        if ((all || over) && processes != NULL) {
            if (!all || options->json) {
                fleet_status_print(processes, generation, options->json);
            }
        }
        if (processes != NULL) {
            g_ptr_array_unref(processes);
        }
        g_clear_error(&error);
        if (all || over) {
            return all ? OPERATOR_OK : OPERATOR_NOT_IN_FORCE;
        }
        usleep(PROGRESS_PAUSE_US);
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
        if (!audit_catch_up(apply->store, head, &error)) {
            fprintf(stderr, "dandelionfork: the audit trail gets this change "
                            "with the next one\n");
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
    return wait_in_force(apply);
}

static enum operator_exit
tell_unknown(const struct apply *apply)
{
    fprintf(stderr,
            "dandelionfork: unknown whether change %s was written; find out "
            "with: dandelionfork history --change %s\n",
            apply->change.id, apply->change.id);
    return OPERATOR_UNKNOWN;
}

static enum operator_exit
apply_round(struct apply *apply, bool *again)
{
    enum operator_exit status = prepare(apply);

    if (status == OPERATOR_STORE_DOWN && apply->maybe_written) {
        return tell_unknown(apply);
    }
    if (status != OPERATOR_OK) {
        return status;
    }
    if (apply->differences == NULL) {
        /* A change with this id was accepted before: it is this one. */
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
    switch (write_once(apply)) {
    case WRITTEN:
        return finish_accepted(apply);
    case RACED:
        *again = true;
        return OPERATOR_REFUSED;
    case NOT_WRITTEN:
        return OPERATOR_STORE_DOWN;
    case PERHAPS_WRITTEN:
        break;
    }
    return tell_unknown(apply);
}

enum operator_exit
apply_run(const struct options *options, struct store *store)
{
    struct apply apply = {.options = options, .store = store};
    enum operator_exit status = edit_read(options, &apply.edit);
    bool again = status == OPERATOR_OK;

    if (again) {
        fill_change(&apply);
    }
    for (int i = 0; i < MAX_ROUNDS && again; i++) {
        again = false;
        status = apply_round(&apply, &again);
    }
    if (again) {
        fprintf(stderr, "dandelionfork: too many others write; nothing was "
                        "written\n");
    }
    clear_apply(&apply);
    return status;
}
