#include "tests/soak/soak_leaving.h"

#include <stdbool.h>

#include "tests/soak/soak_checker.h"
#include "tests/soak/soak_disturbance.h"

struct run {
    const struct soak_request *request;
    uint32_t worker;
    uint64_t ran_ms;
};

static GArray *runs;                       /* struct run */
static GArray *instances_ms[SOAK_WORKERS]; /* uint64_t */

void
soak_leaving_record_run(const struct soak_request *request, uint32_t worker,
                        uint64_t now_ms)
{
    struct run run = {request, worker, now_ms};

    if (runs == NULL) {
        runs = g_array_new(FALSE, FALSE, sizeof(struct run));
    }
    g_array_append_val(runs, run);
}

void
soak_leaving_record_instance(uint32_t worker, uint64_t now_ms)
{
    if (instances_ms[worker] == NULL) {
        instances_ms[worker] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    g_array_append_val(instances_ms[worker], now_ms);
}

/* Whether the worker was one instance all the while. */
static bool
is_one_instance(uint32_t worker, uint64_t from_ms, uint64_t to_ms)
{
    const GArray *list = instances_ms[worker];

    for (guint i = 0; list != NULL && i < list->len; i++) {
        uint64_t at_ms = g_array_index(list, uint64_t, i);

        if (at_ms >= from_ms && at_ms <= to_ms) {
            return false;
        }
    }
    return true;
}

/* The worker's answer to a request that was sent to one worker alone: its head
   is from that worker. */
static bool
says_leaving(const struct soak_request *request, uint32_t worker)
{
    return request->says_leaving && request->runs == 1 &&
           request->worker == worker &&
           request->outcome == SOAK_OUTCOME_COMPLETE;
}

static bool
breaks(const struct run *run, const struct soak_request *answered)
{
    const struct soak_request *request = run->request;

    return request->gateway == answered->gateway &&
           request->incarnation == answered->incarnation &&
           request->sent_ms > answered->ended_ms + SOAK_DRAIN_MS +
                                  soak_disturbance_lag_ms(answered->ended_ms,
                                                          request->sent_ms) &&
           is_one_instance(run->worker, answered->sent_ms, run->ran_ms) &&
           soak_disturbance_none_at(SOAK_DISTURBANCE_GATEWAY, request->gateway,
                                    answered->sent_ms, run->ran_ms);
}

static void
check_runs(const struct soak_request *answered)
{
    for (guint i = 0; i < runs->len; i++) {
        const struct run *run = &g_array_index(runs, struct run, i);

        if (says_leaving(answered, run->worker) && breaks(run, answered)) {
            soak_checker_fail(
                "left",
                "worker-%u, which had said it was leaving in the answer to "
                "%s, runs %s %lu ms later",
                run->worker + 1, answered->id, run->request->id,
                (unsigned long)(run->ran_ms - answered->ended_ms));
            return;
        }
    }
}

void
soak_leaving_check(GHashTable *requests)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, requests);
    while (runs != NULL && g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct soak_request *request = value;

        if (request->says_leaving) {
            check_runs(request);
        }
    }
}
