#include "core/crash_report.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "core/flat_items.h"

static void
clear_part(gpointer data)
{
    struct crash_report_part *part = data;

    g_free(part->id);
}

struct crash_report *
crash_report_create(const char *gateway, const char *endpoint,
                    uint64_t crashed_ms, uint64_t served_ms)
{
    struct crash_report *report = g_new0(struct crash_report, 1);

    report->gateway = g_strdup(gateway);
    report->endpoint = g_strdup(endpoint);
    report->crashed_ms = crashed_ms;
    report->served_ms = served_ms;
    report->parts =
        g_array_new(FALSE, FALSE, sizeof(struct crash_report_part));
    g_array_set_clear_func(report->parts, clear_part);
    return report;
}

void
crash_report_destroy(struct crash_report *report)
{
    if (report == NULL) {
        return;
    }
    g_array_free(report->parts, TRUE);
    g_free(report->endpoint);
    g_free(report->gateway);
    g_free(report);
}

void
crash_report_add(struct crash_report *report, const char *id, uint32_t depth)
{
    struct crash_report_part part = {.depth = depth};

    if (report->parts->len >= CRASH_REPORT_MAX_PARTS) {
        return;
    }
    for (guint i = 0; i < report->parts->len; i++) {
        if (strcmp(
                g_array_index(report->parts, struct crash_report_part, i).id,
                id) == 0) {
            return;
        }
    }
    part.id = g_strdup(id);
    g_array_append_val(report->parts, part);
}

void
crash_report_encode(const struct crash_report *report, GByteArray *out)
{
    flat_items_add_text(out, report->gateway);
    flat_items_add_text(out, report->endpoint);
    flat_items_add_number(out, report->crashed_ms);
    flat_items_add_number(out, report->served_ms);
    for (guint i = 0; i < report->parts->len; i++) {
        const struct crash_report_part *part =
            &g_array_index(report->parts, struct crash_report_part, i);

        flat_items_add_text(out, part->id);
        flat_items_add_number(out, part->depth);
    }
}

struct crash_report *
crash_report_decode(const uint8_t *bytes, size_t count)
{
    struct flat_items_reader reader = {.bytes = bytes, .count = count};
    char *gateway = flat_items_read_text(&reader);
    char *endpoint = flat_items_read_text(&reader);
    uint64_t crashed_ms = flat_items_read_number(&reader);
    struct crash_report *report = crash_report_create(
        gateway, endpoint, crashed_ms, flat_items_read_number(&reader));
    bool valid = gateway != NULL && endpoint != NULL;

    g_free(gateway);
    g_free(endpoint);
    while (valid && !flat_items_at_end(&reader)) {
        char *id = flat_items_read_text(&reader);
        uint32_t depth = (uint32_t)flat_items_read_number(&reader);

        /* NULL: missing or empty. */
        valid = id != NULL && !reader.failed;
        if (valid) {
            crash_report_add(report, id, depth);
        }
        g_free(id);
    }
    if (!valid || reader.failed) {
        crash_report_destroy(report);
        return NULL;
    }
    return report;
}
