#include "core/peer_load.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "core/endpoints.h"
#include "core/flat_items.h"

/* Value and limits are encoded in thousandths. */
static const double value_units = 1000.0;
static const double limit_units = 1000.0;

/* Prefixes of rows that hold something else than an endpoint's load. A gateway
   that does not know a prefix takes the row for the load of an endpoint that
   it does not know. */
static const char limit_prefix[] = "limit ";
static const char unread_prefix[] = "unread ";

static void
encode_row(GByteArray *out, const char *id, const struct endpoint_load *load)
{
    flat_items_add_text(out, id);
    flat_items_add_number(out, load->requests);
    flat_items_add_number(out, (uint64_t)load->prefill_ms);
    flat_items_add_number(out, load->tokens);
    for (size_t c = 0; c < CATALOG_MAX_GAP_CLASSES; c++) {
        flat_items_add_number(out, load->streams[c]);
        flat_items_add_number(out, (uint64_t)(load->value[c] * value_units));
    }
}

/* The limit stands in the place of the requests, its age in that of the
   prefill. */
static void
encode_limit(GByteArray *out, const char *id,
             const struct endpoint_limit *limit, uint64_t now_ms)
{
    char *row_id = g_strconcat(limit_prefix, id, NULL);
    const struct endpoint_load load = {
        .requests = (uint32_t)MIN(ceil(limit->own_per_s * limit_units),
                                  (double)UINT32_MAX),
        .prefill_ms = (double)(now_ms - limit->own_observed_ms)};

    encode_row(out, row_id, &load);
    g_free(row_id);
}

/* The value of the prompts that wait for their prefill stands in the place of
   the first class of values. */
static void
encode_unread(GByteArray *out, const char *id,
              const struct endpoint_load *load)
{
    char *row_id = g_strconcat(unread_prefix, id, NULL);
    const struct endpoint_load row = {.value = {load->unread_value}};

    encode_row(out, row_id, &row);
    g_free(row_id);
}

void
peer_load_encode(const struct endpoints *endpoints, uint64_t now_ms,
                 GByteArray *out)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, endpoints_by_id(endpoints));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct endpoint *endpoint = value;
        struct endpoint_load load;

        if (endpoint->running->len > 0) {
            endpoint_own_load(endpoint, now_ms, &load);
            encode_row(out, endpoint->id, &load);
            if (load.unread_value > 0.0) {
                encode_unread(out, endpoint->id, &load);
            }
        }
        if (endpoint->limit.own_observed_ms > 0) {
            encode_limit(out, endpoint->id, &endpoint->limit, now_ms);
        }
    }
}

/* Cuts the prefix off the row's id. Returns false if the id has another one.
 */
static bool
cut_prefix(struct endpoint_peer_load *row, const char *prefix)
{
    char *id;

    if (row->id == NULL || !g_str_has_prefix(row->id, prefix)) {
        return false;
    }
    id = g_strdup(row->id + strlen(prefix));
    g_free(row->id);
    row->id = id;
    return true;
}

static void
decode_row(struct flat_items_reader *reader, struct endpoint_peer_load *row)
{
    uint64_t prefill_ms;

    row->id = flat_items_read_text(reader);
    row->load.requests = (uint32_t)flat_items_read_number(reader);
    prefill_ms = flat_items_read_number(reader);
    row->load.prefill_ms = (double)prefill_ms;
    row->load.tokens = flat_items_read_number(reader);
    for (size_t c = 0; c < CATALOG_MAX_GAP_CLASSES; c++) {
        row->load.streams[c] = (uint32_t)flat_items_read_number(reader);
        row->load.value[c] =
            (double)flat_items_read_number(reader) / value_units;
    }
    if (cut_prefix(row, limit_prefix)) {
        row->is_limit = true;
        row->limit_per_s = (double)row->load.requests / limit_units;
        row->limit_age_ms = prefill_ms;
    }
    else if (cut_prefix(row, unread_prefix)) {
        row->load = (struct endpoint_load){.unread_value = row->load.value[0]};
    }
}

GArray *
peer_load_decode(const uint8_t *bytes, size_t count)
{
    struct flat_items_reader reader = {.bytes = bytes, .count = count};
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct endpoint_peer_load));

    while (!flat_items_at_end(&reader)) {
        struct endpoint_peer_load row = {0};

        decode_row(&reader, &row);
        if (row.id != NULL) {
            g_array_append_val(rows, row);
        }
    }
    if (reader.failed) {
        for (guint i = 0; i < rows->len; i++) {
            g_free(g_array_index(rows, struct endpoint_peer_load, i).id);
        }
        g_array_free(rows, TRUE);
        return NULL;
    }
    return rows;
}
