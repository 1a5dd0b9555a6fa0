/* Runs a script of crashes in virtual time for several gateways that share a
   store, and prints which prompts and requests each of them refuses. PARTS are
   the ids of a prompt's shared parts, separated by commas. A script has one
   command per line:

     gateways COUNT           starts gateways g1, g2, ...; first command
     at MS                    sets the time
     crash ENDPOINT GATEWAY PARTS [PARTS]...
                              the endpoint crashes, and that gateway reports
                              its prompts there that have got no event; the
                              report is in the store at once. NAME@MS among
                              the parts is a whole request, sent at that time
     event GATEWAY PARTS      a prompt gets its first event
     answered GATEWAY NAME    a request gets its whole response
     others COUNT             this and each later crash comes after an event
                              of some other prompt (1, the default) or not (0)
     tick                     the gateways announce what they know better
     ask GATEWAY PARTS [RANK] prints whether a prompt would be refused; with
                              a rank, the gateway may try a part again
     restart [reversed]       all gateways start again and read the store, in
                              the order of the writes or the other way round

   Lines that begin with # are comments. */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/crash_report.h"
#include "core/quarantine.h"
#include "tests/script.h"

enum {
    MAX_GATEWAYS = 8,
    PERIOD_MS = 600000,
};

/* An item of the store: a report, or the id of a part that is announced. */
struct record {
    struct crash_report *report;
    char *served;
};

struct runner {
    struct quarantine *gateways[MAX_GATEWAYS];
    uint32_t gateway_count;
    GPtrArray *records; /* struct record; the revision is the index + 1 */
    uint64_t now_ms;
    bool others_silent; /* no prompt gets an event between crashes */
};

static void
deliver(struct runner *runner, struct quarantine *gateway, guint index)
{
    const struct record *record = g_ptr_array_index(runner->records, index);

    if (record->report != NULL) {
        quarantine_add_report(gateway, record->report, index + 1,
                              runner->now_ms);
    }
    else {
        quarantine_add_served(gateway, record->served, index + 1);
    }
}

static void
write_record(struct runner *runner, struct crash_report *report,
             const char *served)
{
    struct record *record = g_new0(struct record, 1);

    record->report = report;
    record->served = g_strdup(served);
    g_ptr_array_add(runner->records, record);
    for (uint32_t i = 0; i < runner->gateway_count; i++) {
        deliver(runner, runner->gateways[i], runner->records->len - 1);
    }
}

static void
start_gateways(struct runner *runner, bool reversed)
{
    guint count = runner->records->len;

    for (uint32_t i = 0; i < runner->gateway_count; i++) {
        quarantine_destroy(runner->gateways[i]);
        runner->gateways[i] = quarantine_create(PERIOD_MS);
        for (guint r = 0; r < count; r++) {
            deliver(runner, runner->gateways[i], reversed ? count - 1 - r : r);
        }
    }
}

static struct quarantine *
find_gateway(const struct runner *runner, const char *name)
{
    uint64_t number =
        name != NULL && name[0] == 'g' ? strtoull(name + 1, NULL, 10) : 0;

    if (number == 0 || number > runner->gateway_count) {
        script_error("no such gateway");
    }
    return runner->gateways[number - 1];
}

static void
report_part(const struct runner *runner, const struct quarantine *gateway,
            struct crash_report *report, char *part, uint32_t depth)
{
    char *at = strchr(part, '@');

    if (at != NULL) {
        *at = '\0';
        crash_report_add_request(report, part, strtoull(at + 1, NULL, 10));
    }
    else if (!quarantine_was_served(gateway, part, runner->now_ms)) {
        crash_report_add(report, part, depth);
    }
}

static void
crash(struct runner *runner, char *const *words)
{
    struct crash_report *report =
        crash_report_create(words[2], words[1], runner->now_ms,
                            runner->others_silent ? 0 : runner->now_ms - 1);
    const struct quarantine *gateway = find_gateway(runner, words[2]);

    for (char *const *word = words + 3; *word != NULL; word++) {
        char **parts = g_strsplit(*word, ",", 0);

        for (uint32_t i = 0; parts[i] != NULL; i++) {
            report_part(runner, gateway, report, parts[i], i);
        }
        g_strfreev(parts);
    }
    write_record(runner, report, NULL);
}

static void
tick(struct runner *runner)
{
    for (uint32_t i = 0; i < runner->gateway_count; i++) {
        GPtrArray *parts =
            quarantine_contradicted(runner->gateways[i], runner->now_ms);

        for (guint p = 0; p < parts->len; p++) {
            const char *part = g_ptr_array_index(parts, p);

            printf("%lu g%u announces %s\n", (unsigned long)runner->now_ms,
                   i + 1, part);
            write_record(runner, NULL, part);
        }
        g_ptr_array_free(parts, TRUE);
    }
}

static void
ask(const struct runner *runner, char *const *words)
{
    struct quarantine *gateway = find_gateway(runner, words[1]);
    char **parts = g_strsplit(words[2], ",", 0);
    uint32_t left_ms = 0;
    const char *found =
        quarantine_find(gateway, parts, runner->now_ms, &left_ms);

    printf("%lu %s %s: ", (unsigned long)runner->now_ms, words[1], words[2]);
    if (found != NULL && words[3] != NULL &&
        quarantine_try(gateway, found, (uint32_t)strtoul(words[3], NULL, 10),
                       runner->now_ms)) {
        printf("sent to try %s\n", found);
    }
    else if (found != NULL) {
        printf("refused for %s, %u ms left\n", found, left_ms);
    }
    else {
        printf("sent\n");
    }
    g_strfreev(parts);
}

static void
run_line(void *data, char *const *words)
{
    struct runner *runner = data;

    if (strcmp(words[0], "gateways") == 0) {
        runner->gateway_count =
            MIN((uint32_t)strtoul(words[1], NULL, 10), MAX_GATEWAYS);
        start_gateways(runner, false);
    }
    else if (strcmp(words[0], "at") == 0) {
        runner->now_ms = strtoull(words[1], NULL, 10);
    }
    else if (strcmp(words[0], "crash") == 0) {
        crash(runner, words);
    }
    else if (strcmp(words[0], "event") == 0) {
        char **parts = g_strsplit(words[2], ",", 0);

        quarantine_record_served(find_gateway(runner, words[1]), parts,
                                 runner->now_ms);
        g_strfreev(parts);
    }
    else if (strcmp(words[0], "answered") == 0) {
        quarantine_record_answered(find_gateway(runner, words[1]), words[2],
                                   runner->now_ms);
    }
    else if (strcmp(words[0], "tick") == 0) {
        tick(runner);
    }
    else if (strcmp(words[0], "ask") == 0) {
        ask(runner, words);
    }
    else if (strcmp(words[0], "others") == 0) {
        runner->others_silent = strcmp(words[1], "0") == 0;
    }
    else if (strcmp(words[0], "restart") == 0) {
        start_gateways(runner, g_strcmp0(words[1], "reversed") == 0);
    }
    else {
        script_error(words[0]);
    }
}

static void
clear(struct runner *runner)
{
    for (uint32_t i = 0; i < runner->gateway_count; i++) {
        quarantine_destroy(runner->gateways[i]);
    }
    for (guint i = 0; i < runner->records->len; i++) {
        struct record *record = g_ptr_array_index(runner->records, i);

        crash_report_destroy(record->report);
        g_free(record->served);
        g_free(record);
    }
    g_ptr_array_free(runner->records, TRUE);
}

int
main(int argc, char **argv)
{
    struct runner runner = {.records = g_ptr_array_new()};

    script_run(argc, argv, run_line, &runner);
    clear(&runner);
    return EXIT_SUCCESS;
}
