#include "entry/endpoint_crashes.h"

#include <glib.h>
#include <inttypes.h>

#include "core/crash_report.h"
#include "core/message.h"
#include "core/quarantine.h"
#include "io/log.h"

#define LOG_PART "endpoint-crashes"

enum {
    /* A crash breaks all requests at an engine within this time. */
    SAME_CRASH_MS = 100,
    HASH_BYTES = 17, /* hexadecimal, with the NUL */
};

/* The last crash of a node's engine. */
struct crash {
    uint64_t first_ms;
    uint64_t last_ms;
};

struct endpoint_crashes {
    struct quarantine *quarantine;
    GHashTable *last;  /* node to struct crash, owned */
    uint64_t bytes_ms; /* when an engine last sent a part of a response */
};

/* The ids of a prompt's parts, shortest prefix first, and NULL. */
struct part_ids {
    char text[MESSAGE_MAX_PREFIXES][HASH_BYTES];
    char *list[MESSAGE_MAX_PREFIXES + 1];
};

struct endpoint_crashes *
endpoint_crashes_create(uint32_t period_ms)
{
    struct endpoint_crashes *crashes = g_new0(struct endpoint_crashes, 1);

    crashes->quarantine = quarantine_create(period_ms);
    crashes->last =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return crashes;
}

static void
fill_part_ids(struct part_ids *ids,
              const struct endpoint_crash_suspects *suspects)
{
    uint32_t count = MIN(suspects->prefix_count, MESSAGE_MAX_PREFIXES);

    for (uint32_t i = 0; i < count; i++) {
        g_snprintf(ids->text[i], HASH_BYTES, "%016" PRIx64,
                   suspects->prefixes[count - 1 - i]);
        ids->list[i] = ids->text[i];
    }
    ids->list[count] = NULL;
}

/* Returns when the crash began that breaks a request at the node now, which
   was granted at granted_ms. */
static uint64_t
find_crash_ms(struct endpoint_crashes *crashes, const char *node,
              uint64_t granted_ms, uint64_t now_ms)
{
    struct crash *crash = g_hash_table_lookup(crashes->last, node);

    if (crash == NULL) {
        crash = g_new0(struct crash, 1);
        g_hash_table_insert(crashes->last, g_strdup(node), crash);
    }
    if (crash->last_ms == 0 || granted_ms > crash->last_ms ||
        now_ms > crash->last_ms + SAME_CRASH_MS) {
        crash->first_ms = now_ms;
    }
    crash->last_ms = now_ms;
    return crash->first_ms;
}

static void
add_parts(struct endpoint_crashes *crashes, struct crash_report *report,
          const struct endpoint_crash_suspects *suspects, uint64_t now_ms)
{
    struct part_ids ids;

    fill_part_ids(&ids, suspects);
    for (uint32_t i = 0; ids.list[i] != NULL; i++) {
        if (!quarantine_was_served(crashes->quarantine, ids.list[i], now_ms)) {
            crash_report_add(report, ids.list[i], i);
        }
    }
}

void
endpoint_crashes_record_broken(struct endpoint_crashes *crashes,
                               const char *node,
                               const struct endpoint_crash_suspects *suspects,
                               uint64_t granted_ms, bool answered,
                               uint64_t now_ms)
{
    uint32_t count = quarantine_count(crashes->quarantine, now_ms);
    uint64_t crash_ms = find_crash_ms(crashes, node, granted_ms, now_ms);
    char *name = g_strdup_printf("%s %" PRIu64, node, crash_ms);
    struct crash_report *report =
        crash_report_create("", name, crash_ms, crashes->bytes_ms);

    crash_report_add_request(report, suspects->request, granted_ms);
    if (!answered) {
        add_parts(crashes, report, suspects, now_ms);
    }
    quarantine_add_report(crashes->quarantine, report, UINT64_MAX, now_ms);
    if (quarantine_count(crashes->quarantine, now_ms) != count) {
        LOG_WARN("prompt prefixes and requests under quarantine",
                 "count=%u before=%u",
                 quarantine_count(crashes->quarantine, now_ms), count);
    }
    crash_report_destroy(report);
    g_free(name);
}

void
endpoint_crashes_record_bytes(struct endpoint_crashes *crashes,
                              uint64_t now_ms)
{
    crashes->bytes_ms = now_ms;
}

void
endpoint_crashes_record_served(struct endpoint_crashes *crashes,
                               const struct endpoint_crash_suspects *suspects,
                               uint64_t now_ms)
{
    struct part_ids ids;

    fill_part_ids(&ids, suspects);
    quarantine_record_served(crashes->quarantine, ids.list, now_ms);
}

void
endpoint_crashes_record_answered(
    struct endpoint_crashes *crashes,
    const struct endpoint_crash_suspects *suspects, uint64_t now_ms)
{
    quarantine_record_answered(crashes->quarantine, suspects->request, now_ms);
}

/* Whether a request with any of the ids is to be refused. */
static bool
refuses_any(struct endpoint_crashes *crashes, char *const *ids,
            uint64_t now_ms, uint32_t *left_ms)
{
    const char *id =
        quarantine_find(crashes->quarantine, ids, now_ms, left_ms);

    return id != NULL && !quarantine_try(crashes->quarantine, id, 0, now_ms);
}

bool
endpoint_crashes_find(struct endpoint_crashes *crashes,
                      const struct endpoint_crash_suspects *suspects,
                      uint64_t now_ms, uint32_t *left_ms)
{
    char *const request[] = {(char *)suspects->request, NULL};
    struct part_ids ids;

    fill_part_ids(&ids, suspects);
    return refuses_any(crashes, request, now_ms, left_ms) ||
           refuses_any(crashes, ids.list, now_ms, left_ms);
}
