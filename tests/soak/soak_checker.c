#include "tests/soak/soak_checker.h"

#include <glib.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "tests/fakes/fake_server.h"
#include "tests/soak/soak_cold.h"
#include "tests/soak/soak_crashing.h"
#include "tests/soak/soak_disturbance.h"
#include "tests/soak/soak_evacuated.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_leaving.h"
#include "tests/soak/soak_turned_away.h"

enum {
    STATUS_OK = 200,
    STATUS_UNAUTHORIZED = 401,
    STATUS_NOT_FOUND = 404,
    STATUS_TIMEOUT = 408,
    STATUS_MISDIRECTED = 421,
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503,
    /* A request that is cut off so soon after it was sent, and that no worker
       has run, counts as unread: its caller may send it again. A request that
       is cut off so soon before its timeout counts as timed out. */
    LOSS_SLACK_MS = 200,
    MAX_ATTEMPTS = 2, /* max_attempts of the routes in soak_operator.c */
    MAX_VERSIONS = 4096,
    MS_PER_S = 1000,
};

static struct {
    pthread_mutex_t lock;
    uint64_t seed;
    GHashTable *requests; /* id to struct soak_request */
    uint64_t key_added_ms[SOAK_MAX_KEYS];
    uint64_t key_removed_ms[SOAK_MAX_KEYS];
    uint64_t version_written_ms[MAX_VERSIONS];
    uint64_t draining_ms[SOAK_WORKERS]; /* 0: not draining */
    /* The newest version whose route each gateway has served, and the
       incarnation of the gateway that did. */
    uint32_t seen_version[SOAK_GATEWAYS];
    uint32_t seen_incarnation[SOAK_GATEWAYS];
    uint32_t failures;
    uint32_t overruns; /* crashes of cold workers that got too much */
    uint32_t outcomes[SOAK_OUTCOME_INVALID + 1];
} checker = {.lock = PTHREAD_MUTEX_INITIALIZER};

void
soak_checker_init(uint64_t seed)
{
    checker.seed = seed;
    checker.requests = g_hash_table_new(g_str_hash, g_str_equal);
}

void
soak_checker_fail(const char *guarantee, const char *format, ...)
{
    va_list arguments;
    char text[512];

    va_start(arguments, format);
    g_vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    printf("not ok seed=%lu %s: %s\n", (unsigned long)checker.seed, guarantee,
           text);
    fflush(stdout);
    __atomic_add_fetch(&checker.failures, 1, __ATOMIC_RELAXED);
}

uint32_t
soak_checker_failures(void)
{
    return __atomic_load_n(&checker.failures, __ATOMIC_RELAXED);
}

static void
fail_request(const char *guarantee, const struct soak_request *request,
             const char *why)
{
    soak_checker_fail(guarantee,
                      "%s (id=%s kind=%d gateway=%u kept=%d status=%u end=%d "
                      "runs=%u sent=%lu ran=+%ld ended=+%ld)",
                      why, request->id, request->kind, request->gateway + 1,
                      request->reused_connection, request->status,
                      request->outcome, request->runs,
                      (unsigned long)request->sent_ms,
                      (long)(request->last_run_ms - request->sent_ms),
                      (long)(request->ended_ms - request->sent_ms));
}

struct soak_request *
soak_checker_request_sent(const struct soak_request *request)
{
    struct soak_request *recorded = g_memdup2(request, sizeof(*request));

    pthread_mutex_lock(&checker.lock);
    if (checker.seen_incarnation[request->gateway] == request->incarnation) {
        recorded->seen_version = checker.seen_version[request->gateway];
    }
    g_hash_table_insert(checker.requests, recorded->id, recorded);
    pthread_mutex_unlock(&checker.lock);
    return recorded;
}

/* Whether the gateway and its callers' connections were undisturbed. Its
   connections to the store and to workers may have been disturbed. */
static bool
gateway_undisturbed(const struct soak_request *request, uint64_t from_ms,
                    uint64_t to_ms)
{
    return soak_disturbance_none_at(SOAK_DISTURBANCE_GATEWAY, request->gateway,
                                    from_ms - SOAK_SETTLE_MS, to_ms);
}

bool
soak_checker_follows_store(const struct soak_request *request,
                           uint64_t from_ms, uint64_t to_ms)
{
    from_ms -= SOAK_SETTLE_MS;
    return soak_disturbance_none_at(SOAK_DISTURBANCE_GATEWAY, request->gateway,
                                    from_ms, to_ms) &&
           soak_disturbance_none_at(SOAK_DISTURBANCE_RESTART, request->gateway,
                                    from_ms, to_ms) &&
           soak_disturbance_none_at(SOAK_DISTURBANCE_STORE_CONNECTION,
                                    request->gateway, from_ms, to_ms) &&
           soak_disturbance_none_anywhere(SOAK_DISTURBANCE_STORE, from_ms,
                                          to_ms);
}

static bool
means_not_run(uint32_t status)
{
    return status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY ||
           status == STATUS_TIMEOUT || status == STATUS_MISDIRECTED;
}

static bool
runs_at_most_once(const struct soak_request *request)
{
    return request->kind == SOAK_REQUEST_AT_MOST_ONCE ||
           request->kind == SOAK_REQUEST_SLOW ||
           request->kind == SOAK_REQUEST_LONG;
}

bool
soak_checker_is_head(const struct soak_request *request)
{
    return strcmp(request->method, "HEAD") == 0;
}

/* Whether it is on the route that needs an API key. */
static bool
has_account(const struct soak_request *request)
{
    return request->kind == SOAK_REQUEST_SAFE ||
           request->kind == SOAK_REQUEST_CRASHING;
}

/* Responses. */

static void
check_events(const struct soak_request *request, const GString *body)
{
    GString *expected = g_string_new(NULL);
    char *padding = g_strnfill(request->event_bytes, 'x');

    for (uint32_t i = 1; i <= request->events; i++) {
        g_string_append_printf(expected, "id: %u\ndata: event %u of %s%s\n\n",
                               i, i, request->id, padding);
    }
    if (!g_string_equal(expected, body)) {
        fail_request("whole", request,
                     "events are missing, repeated or wrong");
    }
    g_string_free(expected, TRUE);
    g_free(padding);
}

static void
check_body(const struct soak_request *request,
           const struct soak_response *response)
{
    if (!response->has_signature ||
        strcmp(response->attempt_id, request->id) != 0) {
        fail_request(
            "own", request,
            "the response is not signed, or belongs to another request");
    }
    if (soak_checker_is_head(request)) {
        return;
    }
    if (request->events > 0) {
        check_events(request, response->body);
    }
    else if (request->crashing != 0) {
        soak_crashing_record_answer(request);
    }
    else if (strstr(response->body->str, request->id) == NULL) {
        fail_request("own", request, "the body belongs to another request");
    }
}

/* Whether the change must be in force for the request: it came later than the
   bound, at a gateway that could follow the store. */
static bool
must_know(const struct soak_request *request, uint64_t change_ms)
{
    return change_ms != 0 &&
           request->sent_ms >
               change_ms + SOAK_APPLY_MS +
                   soak_disturbance_lag_ms(change_ms, request->ended_ms) &&
           soak_checker_follows_store(request, request->sent_ms,
                                      request->ended_ms);
}

/* Checks whether the gateway refused what its configuration should allow. */
static void
check_added(const struct soak_request *request)
{
    uint32_t key = request->key;

    if (request->kind == SOAK_REQUEST_NEW_ROUTE &&
        request->status == STATUS_NOT_FOUND) {
        if (request->version <= checker.seen_version[request->gateway] &&
            request->incarnation ==
                checker.seen_incarnation[request->gateway]) {
            fail_request("version", request,
                         "the gateway went back to an older configuration");
        }
        if (must_know(request, checker.version_written_ms[request->version])) {
            fail_request("route", request, "an added route is not served");
        }
    }
    else if (request->kind == SOAK_REQUEST_SAFE &&
             request->status == STATUS_UNAUTHORIZED &&
             checker.key_removed_ms[key] == 0 &&
             must_know(request, checker.key_added_ms[key])) {
        fail_request("config", request, "an added key is not in force");
    }
}

/* Checks whether the gateway served a route that a later version lacks. */
static void
check_removed(const struct soak_request *request)
{
    if (request->kind != SOAK_REQUEST_OLD_ROUTE ||
        request->status != STATUS_OK) {
        return;
    }
    if (request->seen_version > request->version) {
        fail_request("version", request,
                     "the gateway went back to an older configuration");
    }
    if (must_know(request, checker.version_written_ms[request->version + 1])) {
        fail_request("config", request, "a removed route is served");
    }
}

/* Checks whether the gateway refused what all versions allow. */
static void
check_denied(const struct soak_request *request)
{
    bool is_denied =
        request->status == STATUS_UNAUTHORIZED
            ? !has_account(request) || request->key == SOAK_PERMANENT_KEY
            : request->status == STATUS_NOT_FOUND &&
                  request->kind != SOAK_REQUEST_NEW_ROUTE &&
                  request->kind != SOAK_REQUEST_OLD_ROUTE;

    if (is_denied) {
        fail_request("denied", request,
                     "every version has the route and the key");
    }
}

static void
record_seen_version(const struct soak_request *request)
{
    uint32_t gateway = request->gateway;

    if ((request->kind != SOAK_REQUEST_NEW_ROUTE &&
         request->kind != SOAK_REQUEST_OLD_ROUTE) ||
        request->status != STATUS_OK) {
        return;
    }
    if (checker.seen_incarnation[gateway] != request->incarnation) {
        checker.seen_incarnation[gateway] = request->incarnation;
        checker.seen_version[gateway] = 0;
    }
    checker.seen_version[gateway] =
        MAX(checker.seen_version[gateway], request->version);
}

/* A caller that reads slowly may still be reading then. */
static void
check_limit(const struct soak_request *request)
{
    uint64_t end_ms = request->sent_ms + request->timeout_ms;

    if (request->read_pause_ms == 0 &&
        request->ended_ms >
            end_ms + SOAK_SLACK_MS +
                soak_disturbance_lag_ms(request->sent_ms, request->ended_ms) &&
        gateway_undisturbed(request, request->sent_ms, request->ended_ms)) {
        fail_request("limit", request, "no complete response in time");
    }
}

static void
check_refusal(const struct soak_request *request)
{
    if (runs_at_most_once(request) &&
        request->outcome == SOAK_OUTCOME_COMPLETE &&
        means_not_run(request->status) && request->runs > 0) {
        fail_request(
            "refusal", request,
            "the response says that the request did not run, but it ran");
    }
}

void
soak_checker_request_ended(struct soak_request *request,
                           const struct soak_response *response,
                           uint64_t now_ms)
{
    pthread_mutex_lock(&checker.lock);
    request->ended_ms = now_ms;
    request->outcome = response->outcome;
    request->status = response->status;
    request->says_leaving = response->says_leaving;
    checker.outcomes[response->outcome]++;
    if (response->outcome == SOAK_OUTCOME_INVALID) {
        fail_request("own", request, "the response is not valid HTTP");
    }
    if (response->outcome == SOAK_OUTCOME_COMPLETE) {
        if (response->status == STATUS_OK) {
            check_body(request, response);
        }
        check_added(request);
        check_removed(request);
        check_denied(request);
        record_seen_version(request);
        check_refusal(request);
    }
    if (response->outcome != SOAK_OUTCOME_UNSENT) {
        check_limit(request);
    }
    pthread_mutex_unlock(&checker.lock);
}

/* Runs. */

/* Whether the gateway must know that a worker drains: it can follow the store,
   or it could when the worker wrote that, and has run undisturbed since,
   whatever has become of the store. */
static bool
must_know_draining(const struct soak_request *request, uint64_t draining_ms)
{
    uint64_t now_ms = request->last_run_ms;

    return soak_checker_follows_store(request, now_ms, now_ms) ||
           (soak_checker_follows_store(request, draining_ms,
                                       draining_ms + SOAK_DRAIN_MS) &&
            gateway_undisturbed(request, draining_ms, now_ms) &&
            soak_disturbance_none_at(SOAK_DISTURBANCE_RESTART,
                                     request->gateway, draining_ms, now_ms));
}

static void
check_run(const struct soak_request *request, uint32_t worker,
          const char *account, const char *credential)
{
    uint64_t removed_ms = checker.key_removed_ms[request->key];
    uint64_t draining_ms = checker.draining_ms[worker];

    if ((worker < SOAK_PLAIN_WORKERS) != (request->events == 0)) {
        fail_request("service", request, "ran at a worker of another service");
    }
    if (strcmp(credential, "-") != 0 ||
        strcmp(account, has_account(request) ? "uspon" : "-") != 0) {
        fail_request("unasked", request,
                     "the worker got another account, or the key itself");
    }
    if (runs_at_most_once(request) && request->runs > 1) {
        fail_request("once", request, "ran more than once");
    }
    if (request->runs > MAX_ATTEMPTS) {
        fail_request("attempts", request,
                     "ran more often than its route allows");
    }
    if (request->kind == SOAK_REQUEST_SAFE && removed_ms != 0 &&
        request->sent_ms > removed_ms + SOAK_REVOKE_MS) {
        fail_request("revoke", request, "ran with a removed key");
    }
    if (draining_ms != 0 &&
        request->last_run_ms >
            draining_ms + SOAK_DRAIN_MS +
                soak_disturbance_lag_ms(draining_ms, request->last_run_ms) &&
        must_know_draining(request, draining_ms) &&
        soak_disturbance_none_at(SOAK_DISTURBANCE_WORKER, worker,
                                 request->last_run_ms - SOAK_SETTLE_MS,
                                 request->last_run_ms)) {
        fail_request("drain", request, "was sent to a draining worker");
    }
    check_refusal(request);
}

/* Checks that no work goes on for a caller that has left. */
static void
check_gone(const struct soak_request *request, uint64_t now_ms,
           const char *why)
{
    if (request->outcome == SOAK_OUTCOME_CALLER_LEFT &&
        now_ms > request->ended_ms + SOAK_SLACK_MS +
                     soak_disturbance_lag_ms(request->ended_ms, now_ms) &&
        gateway_undisturbed(request, request->ended_ms, now_ms) &&
        soak_disturbance_none_anywhere(SOAK_DISTURBANCE_WORKER,
                                       request->ended_ms - SOAK_SETTLE_MS,
                                       now_ms)) {
        fail_request("gone", request, why);
    }
}

/* The request has arrived at the worker, which may run or refuse it. */
static void
record_arrival(const struct soak_request *request, uint32_t worker,
               uint64_t now_ms)
{
    soak_turned_away_record_arrival(request, worker, now_ms);
    soak_evacuated_record_arrival(request, worker, now_ms);
    soak_cold_record_arrival(request, worker, now_ms);
}

/* helpers: their addresses, "-" if there are none. */
static void
record_helpers(const struct soak_request *request, const char *helpers,
               uint64_t now_ms)
{
    for (uint32_t i = SOAK_PLAIN_WORKERS; i < SOAK_WORKERS; i++) {
        char port[16];

        g_snprintf(port, sizeof(port), ":%u", SOAK_WORKER_PROXY_PORT + i);
        if (strstr(helpers, port) != NULL) {
            soak_evacuated_record_arrival(request, i, now_ms);
        }
    }
}

/* retry_s: "-" if the worker has not said how long. */
static void
record_refusal(const struct soak_request *request, uint32_t worker,
               const char *at_ms, const char *retry_s)
{
    uint64_t now_ms = g_ascii_strtoull(at_ms, NULL, 10);

    record_arrival(request, worker, now_ms);
    if (strcmp(retry_s, "-") != 0) {
        soak_turned_away_record_refusal(request, worker, now_ms,
                                        g_ascii_strtoull(retry_s, NULL, 10) *
                                            MS_PER_S);
    }
}

static void
record_crash(const char *id)
{
    const struct soak_request *request =
        g_hash_table_lookup(checker.requests, id);

    if (request != NULL) {
        soak_crashing_record_crash(request, request->last_run_ms);
    }
}

void
soak_checker_worker_line(uint32_t worker, const char *line)
{
    char **words = g_strsplit(line, " ", -1);
    struct soak_request *request = NULL;
    guint count = g_strv_length(words);

    pthread_mutex_lock(&checker.lock);
    if (count == 2 && strcmp(words[0], "crashed") == 0) {
        record_crash(words[1]);
    }
    else if (count == 3 && strcmp(words[0], "overran") == 0) {
        checker.overruns++;
    }
    if (count >= 3) {
        request = g_hash_table_lookup(checker.requests, words[2]);
    }
    if (count == 6 && strcmp(words[0], "ran") == 0) {
        if (request == NULL) {
            soak_checker_fail("unasked", "no caller has sent request %s",
                              words[2]);
        }
        else {
            request->runs++;
            request->worker = worker;
            request->last_run_ms = g_ascii_strtoull(words[1], NULL, 10);
            soak_leaving_record_run(request, worker, request->last_run_ms);
            record_arrival(request, worker, request->last_run_ms);
            record_helpers(request, words[5], request->last_run_ms);
            if (request->crashing != 0) {
                soak_crashing_record_run(request, request->last_run_ms);
            }
            check_run(request, worker, words[3], words[4]);
            check_gone(request, request->last_run_ms,
                       "was forwarded after its caller had left");
        }
    }
    else if (request != NULL && count == 4 &&
             strcmp(words[0], "refused") == 0) {
        record_refusal(request, worker, words[1], words[3]);
    }
    else if (request != NULL && count == 4 && strcmp(words[0], "ended") == 0) {
        check_gone(request, g_ascii_strtoull(words[1], NULL, 10),
                   "was worked on after its caller had left");
    }
    pthread_mutex_unlock(&checker.lock);
    g_strfreev(words);
}

/* Operators' changes. */

void
soak_checker_changed(enum soak_change change, uint32_t index)
{
    uint64_t now_ms = fake_clock_ms();

    pthread_mutex_lock(&checker.lock);
    switch (change) {
    case SOAK_CHANGE_KEY_ADDED:
        checker.key_added_ms[index] = now_ms;
        break;
    case SOAK_CHANGE_KEY_REMOVED:
        checker.key_removed_ms[index] = now_ms;
        break;
    case SOAK_CHANGE_VERSION_WRITTEN:
        g_assert(index < MAX_VERSIONS);
        checker.version_written_ms[index] = now_ms;
        break;
    case SOAK_CHANGE_WORKER_DRAINS:
        if (checker.draining_ms[index] == 0) {
            checker.draining_ms[index] = now_ms;
        }
        break;
    case SOAK_CHANGE_WORKER_READY:
        checker.draining_ms[index] = 0;
        break;
    case SOAK_CHANGE_WORKER_INSTANCE:
        soak_leaving_record_instance(index, now_ms);
        break;
    case SOAK_CHANGE_ZONE_EVACUATED:
    case SOAK_CHANGE_ZONE_IN_USE:
        soak_evacuated_record_change(
            index, change == SOAK_CHANGE_ZONE_EVACUATED, now_ms);
        break;
    }
    pthread_mutex_unlock(&checker.lock);
}

void
soak_checker_worker_cold(uint32_t worker, uint64_t bound_after_ms,
                         uint64_t until_ms)
{
    uint64_t now_ms = fake_clock_ms();

    pthread_mutex_lock(&checker.lock);
    soak_cold_record_change(worker, now_ms, now_ms + bound_after_ms, until_ms);
    pthread_mutex_unlock(&checker.lock);
}

/* Whether the caller may still have been reading at the end of the grace of
   a gateway that was told to end. */
static bool
outlasts_grace(const struct soak_request *request)
{
    return request->kind == SOAK_REQUEST_TRICKLED &&
           !soak_disturbance_none_at(SOAK_DISTURBANCE_RESTART,
                                     request->gateway, request->sent_ms,
                                     request->ended_ms);
}

/* Whether no worker has broken the request off. One that ran once depends on
   that worker alone, unless it has helpers. */
static bool
workers_undisturbed(const struct soak_request *request)
{
    uint64_t from_ms = request->sent_ms - SOAK_SETTLE_MS;

    if (request->runs == 1 && request->kind != SOAK_REQUEST_LARGE) {
        return soak_disturbance_none_at(SOAK_DISTURBANCE_WORKER,
                                        request->worker, from_ms,
                                        request->ended_ms);
    }
    return soak_disturbance_none_anywhere(SOAK_DISTURBANCE_WORKER, from_ms,
                                          request->ended_ms);
}

/* Checks that no response was cut off without a disturbance. A gateway's
   planned end doesn't count as one. */
static void
check_lost(const struct soak_request *request)
{
    uint64_t duration_ms = request->ended_ms - request->sent_ms;

    if (request->outcome != SOAK_OUTCOME_CUT ||
        duration_ms + LOSS_SLACK_MS >= request->timeout_ms ||
        (request->runs == 0 &&
         duration_ms <=
             LOSS_SLACK_MS + soak_disturbance_lag_ms(request->sent_ms,
                                                     request->ended_ms)) ||
        !gateway_undisturbed(request, request->sent_ms, request->ended_ms) ||
        outlasts_grace(request) || !workers_undisturbed(request)) {
        return;
    }
    fail_request("lost", request, "cut off without a disturbance");
}

void
soak_checker_finish(void)
{
    uint32_t counts[SOAK_REQUEST_KIND_COUNT] = {0};
    uint32_t served[SOAK_REQUEST_KIND_COUNT] = {0};
    GHashTableIter iter;
    gpointer value;

    pthread_mutex_lock(&checker.lock);
    g_hash_table_iter_init(&iter, checker.requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct soak_request *request = value;

        check_lost(request);
        counts[request->kind]++;
        served[request->kind] += request->outcome == SOAK_OUTCOME_COMPLETE &&
                                 request->status == STATUS_OK;
    }
    soak_leaving_check(checker.requests);
    printf("requests=%u unsent=%u whole=%u cut=%u left=%u overruns=%u served",
           g_hash_table_size(checker.requests),
           checker.outcomes[SOAK_OUTCOME_UNSENT],
           checker.outcomes[SOAK_OUTCOME_COMPLETE],
           checker.outcomes[SOAK_OUTCOME_CUT],
           checker.outcomes[SOAK_OUTCOME_CALLER_LEFT], checker.overruns);
    for (size_t i = 0; i < SOAK_REQUEST_KIND_COUNT; i++) {
        printf(" %u/%u", served[i], counts[i]);
    }
    printf("\n");
    pthread_mutex_unlock(&checker.lock);
}
