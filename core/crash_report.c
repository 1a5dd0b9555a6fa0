#include "core/crash_report.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "core/flat_items.h"
#include "core/request_digest.h"

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

static void
add_part(struct crash_report *report, const struct crash_report_part *added)
{
    struct crash_report_part part = *added;

    for (guint i = 0; i < report->parts->len; i++) {
        struct crash_report_part *known =
            &g_array_index(report->parts, struct crash_report_part, i);

        if (strcmp(known->id, part.id) == 0) {
            known->sent_ms = MAX(known->sent_ms, part.sent_ms);
            return;
        }
    }
    if (report->parts->len < CRASH_REPORT_MAX_PARTS) {
        part.id = g_strdup(part.id);
        g_array_append_val(report->parts, part);
    }
}

void
crash_report_add(struct crash_report *report, const char *id, uint32_t depth)
{
    struct crash_report_part part = {.id = (char *)id, .depth = depth};

    add_part(report, &part);
}

void
crash_report_add_request(struct crash_report *report, const char *digest,
                         uint64_t sent_ms)
{
    struct crash_report_part part = {.id = (char *)digest,
                                     .depth = CRASH_REPORT_REQUEST_DEPTH,
                                     .sent_ms = sent_ms};

    add_part(report, &part);
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

        /* Each has one number, so that gateways which know parts alone can
           read the report. */
        flat_items_add_text(out, part->id);
        flat_items_add_number(out, request_digest_is_one(part->id)
                                       ? part->sent_ms
                                       : part->depth);
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
        uint64_t number = flat_items_read_number(&reader);

        /* NULL: missing or empty. */
        valid =
            id != NULL && !reader.failed &&
            (request_digest_is_one(id) || number < CRASH_REPORT_REQUEST_DEPTH);
        if (valid && request_digest_is_one(id)) {
            crash_report_add_request(report, id, number);
        }
        else if (valid) {
            crash_report_add(report, id, (uint32_t)number);
        }
        g_free(id);
    }
    if (!valid || reader.failed) {
        crash_report_destroy(report);
        return NULL;
    }
    return report;
}
