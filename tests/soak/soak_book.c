#include "tests/soak/soak_book.h"

#include <glib.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "tests/fakes/fake_server.h"
#include "tests/soak/soak_trouble.h"

enum {
    STATUS_OK = 200,
    STATUS_UNAUTHORIZED = 401,
    STATUS_NOT_FOUND = 404,
    STATUS_TIMEOUT = 408,
    STATUS_MISDIRECTED = 421,
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503,
    /* An unread request on a connection that ends may be sent again. */
    LOSS_SLACK_MS = 200,
    MAX_ATTEMPTS = 2, /* of the routes, see soak_operator.c */
    VERSIONS = 4096,
};

static struct {
    pthread_mutex_t lock;
    uint64_t seed;
    GHashTable *requests; /* id to struct soak_request */
    uint64_t key_added_ms[SOAK_KEYS];
    uint64_t key_removed_ms[SOAK_KEYS];
    uint64_t version_ms[VERSIONS];
    uint64_t leaving_ms[SOAK_WORKERS]; /* 0: not leaving */
    uint32_t seen[SOAK_GATEWAYS];      /* version, of that life */
    uint32_t seen_life[SOAK_GATEWAYS];
    uint32_t failures;
    uint32_t ends[SOAK_BAD + 1];
} book = {.lock = PTHREAD_MUTEX_INITIALIZER};

void
soak_book_init(uint64_t seed)
{
    book.seed = seed;
    book.requests = g_hash_table_new(g_str_hash, g_str_equal);
}

void
soak_book_fail(const char *promise, const char *format, ...)
{
    va_list arguments;
    char text[512];

    va_start(arguments, format);
    g_vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    printf("not ok seed=%lu %s: %s\n", (unsigned long)book.seed, promise,
           text);
    fflush(stdout);
    __atomic_add_fetch(&book.failures, 1, __ATOMIC_RELAXED);
}

uint32_t
soak_book_failures(void)
{
    return __atomic_load_n(&book.failures, __ATOMIC_RELAXED);
}

static void
fail_request(const char *promise, const struct soak_request *request,
             const char *why)
{
    soak_book_fail(promise,
                   "%s (id=%s kind=%d gateway=%u kept=%d status=%u end=%d "
                   "runs=%u "
                   "sent=%lu ran=+%ld ended=+%ld)",
                   why, request->id, request->kind, request->gateway + 1,
                   request->on_kept, request->status, request->end,
                   request->runs, (unsigned long)request->sent_ms,
                   (long)(request->ran_ms - request->sent_ms),
                   (long)(request->ended_ms - request->sent_ms));
}

struct soak_request *
soak_book_sent(const struct soak_request *request)
{
    struct soak_request *noted = g_memdup2(request, sizeof(*request));

    pthread_mutex_lock(&book.lock);
    g_hash_table_insert(book.requests, noted->id, noted);
    pthread_mutex_unlock(&book.lock);
    return noted;
}

/* The gateway was in touch with everything but the workers. */
static bool
is_calm(const struct soak_request *request, uint64_t from_ms, uint64_t to_ms)
{
    return soak_trouble_free(SOAK_GATEWAY, request->gateway,
                             from_ms - SOAK_CONTACT_MS, to_ms);
}

static bool
knows_store(const struct soak_request *request, uint64_t from_ms,
            uint64_t to_ms)
{
    from_ms -= SOAK_CONTACT_MS;
    return soak_trouble_free(SOAK_GATEWAY, request->gateway, from_ms, to_ms) &&
           soak_trouble_free(SOAK_PLANNED, request->gateway, from_ms, to_ms) &&
           soak_trouble_free(SOAK_STORE_WAY, request->gateway, from_ms,
                             to_ms) &&
           soak_trouble_free_all(SOAK_STORE, from_ms, to_ms);
}

static bool
says_not_run(uint32_t status)
{
    return status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY ||
           status == STATUS_TIMEOUT || status == STATUS_MISDIRECTED;
}

static bool
runs_once(const struct soak_request *request)
{
    return request->kind == SOAK_ONCE || request->kind == SOAK_SLOW;
}

/* Answers. */

static void
check_events(const struct soak_request *request, const GString *body)
{
    GString *wanted = g_string_new(NULL);

    for (uint32_t i = 1; i <= request->events; i++) {
        g_string_append_printf(wanted, "id: %u\ndata: event %u of %s\n\n", i,
                               i, request->id);
    }
    if (!g_string_equal(wanted, body)) {
        fail_request("whole", request, "events are missing or too many");
    }
    g_string_free(wanted, TRUE);
}

static void
check_body(const struct soak_request *request,
           const struct soak_answer *answer)
{
    if (!answer->has_signature || strcmp(answer->id, request->id) != 0) {
        fail_request("own", request, "not signed, or of another request");
    }
    if (request->events > 0) {
        check_events(request, answer->body);
    }
    else if (strstr(answer->body->str, request->id) == NULL) {
        fail_request("own", request, "another request's body");
    }
}

/* Final refusals of what the configuration allows. */
static void
check_denied(const struct soak_request *request)
{
    uint64_t allowed_ms = 0;

    if (request->kind == SOAK_VERSION && request->status == STATUS_NOT_FOUND) {
        allowed_ms = book.version_ms[request->version];
        if (request->version <= book.seen[request->gateway] &&
            request->life == book.seen_life[request->gateway]) {
            fail_request("version", request, "went back to an older one");
        }
    }
    else if (request->kind == SOAK_SAFE &&
             request->status == STATUS_UNAUTHORIZED &&
             book.key_removed_ms[request->key] == 0) {
        allowed_ms = book.key_added_ms[request->key];
    }
    if (allowed_ms != 0 &&
        request->sent_ms > allowed_ms + SOAK_APPLY_MS +
                               soak_lag_ms(allowed_ms, request->ended_ms) &&
        knows_store(request, allowed_ms, request->ended_ms)) {
        fail_request("config", request, "a change is not in force in time");
    }
}

static void
note_seen(const struct soak_request *request)
{
    uint32_t gateway = request->gateway;

    if (request->kind != SOAK_VERSION || request->status != STATUS_OK) {
        return;
    }
    if (book.seen_life[gateway] != request->life) {
        book.seen_life[gateway] = request->life;
        book.seen[gateway] = 0;
    }
    book.seen[gateway] = MAX(book.seen[gateway], request->version);
}

static void
check_limit(const struct soak_request *request)
{
    uint64_t end_ms = request->sent_ms + request->limit_ms;

    if (request->ended_ms >
            end_ms + SOAK_SLACK_MS +
                soak_lag_ms(request->sent_ms, request->ended_ms) &&
        is_calm(request, request->sent_ms, request->ended_ms)) {
        fail_request("limit", request, "no final answer in time");
    }
}

static void
check_refusal(const struct soak_request *request)
{
    if (runs_once(request) && request->end == SOAK_WHOLE &&
        says_not_run(request->status) && request->runs > 0) {
        fail_request("refusal", request, "said not to have run, and has run");
    }
}

void
soak_book_ended(struct soak_request *request, const struct soak_answer *answer,
                uint64_t now_ms)
{
    pthread_mutex_lock(&book.lock);
    request->ended_ms = now_ms;
    request->end = answer->end;
    request->status = answer->status;
    book.ends[answer->end]++;
    if (answer->end == SOAK_BAD) {
        fail_request("own", request, "bytes that are no answer");
    }
    if (answer->end == SOAK_WHOLE) {
        if (answer->status == STATUS_OK) {
            check_body(request, answer);
        }
        check_denied(request);
        note_seen(request);
        check_refusal(request);
    }
    if (answer->end != SOAK_UNSENT) {
        check_limit(request);
    }
    pthread_mutex_unlock(&book.lock);
}

/* Runs. */

static void
check_run(const struct soak_request *request, uint32_t worker,
          const char *account, const char *credential)
{
    uint64_t removed_ms = book.key_removed_ms[request->key];
    uint64_t leaving_ms = book.leaving_ms[worker];

    if (strcmp(credential, "-") != 0 ||
        strcmp(account, request->kind == SOAK_SAFE ? "uspon" : "-") != 0) {
        fail_request("unasked", request, "another account, or the key itself");
    }
    if (runs_once(request) && request->runs > 1) {
        fail_request("once", request, "has run again");
    }
    if (request->runs > MAX_ATTEMPTS) {
        fail_request("attempts", request, "has run too often");
    }
    if (request->kind == SOAK_SAFE && removed_ms != 0 &&
        request->sent_ms > removed_ms + SOAK_REVOKE_MS) {
        fail_request("revoke", request, "has run with a removed key");
    }
    if (leaving_ms != 0 &&
        request->ran_ms > leaving_ms + SOAK_DRAIN_MS +
                              soak_lag_ms(leaving_ms, request->ran_ms) &&
        knows_store(request, leaving_ms, request->ran_ms) &&
        soak_trouble_free(SOAK_WORKER, worker,
                          request->ran_ms - SOAK_CONTACT_MS,
                          request->ran_ms)) {
        fail_request("drain", request, "sent to a worker that leaves");
    }
    check_refusal(request);
}

/* Work for a caller that has left. */
static void
check_gone(const struct soak_request *request, uint64_t now_ms,
           const char *why)
{
    if (request->end == SOAK_LEFT &&
        now_ms > request->ended_ms + SOAK_SLACK_MS +
                     soak_lag_ms(request->ended_ms, now_ms) &&
        is_calm(request, request->ended_ms, now_ms) &&
        soak_trouble_free_all(SOAK_WORKER, request->ended_ms - SOAK_CONTACT_MS,
                              now_ms)) {
        fail_request("gone", request, why);
    }
}

void
soak_book_worker_line(uint32_t worker, const char *line)
{
    char **words = g_strsplit(line, " ", -1);
    struct soak_request *request = NULL;
    guint count = g_strv_length(words);

    pthread_mutex_lock(&book.lock);
    if (count >= 3) {
        request = g_hash_table_lookup(book.requests, words[2]);
    }
    if (count == 5 && strcmp(words[0], "ran") == 0) {
        if (request == NULL) {
            soak_book_fail("unasked", "nobody has sent %s", words[2]);
        }
        else {
            request->runs++;
            request->ran_ms = g_ascii_strtoull(words[1], NULL, 10);
            check_run(request, worker, words[3], words[4]);
            check_gone(request, request->ran_ms, "sent on for who has left");
        }
    }
    else if (request != NULL && count == 4 && strcmp(words[0], "ended") == 0) {
        check_gone(request, g_ascii_strtoull(words[1], NULL, 10),
                   "worked on for who has left");
    }
    pthread_mutex_unlock(&book.lock);
    g_strfreev(words);
}

/* The operators. */

void
soak_book_key_added(uint32_t key, uint64_t now_ms)
{
    pthread_mutex_lock(&book.lock);
    book.key_added_ms[key] = now_ms;
    pthread_mutex_unlock(&book.lock);
}

void
soak_book_key_removed(uint32_t key, uint64_t now_ms)
{
    pthread_mutex_lock(&book.lock);
    book.key_removed_ms[key] = now_ms;
    pthread_mutex_unlock(&book.lock);
}

void
soak_book_version(uint32_t version, uint64_t now_ms)
{
    pthread_mutex_lock(&book.lock);
    g_assert(version < VERSIONS);
    book.version_ms[version] = now_ms;
    pthread_mutex_unlock(&book.lock);
}

void
soak_book_leaving(uint32_t worker, bool leaving, uint64_t now_ms)
{
    pthread_mutex_lock(&book.lock);
    book.leaving_ms[worker] = leaving ? now_ms : 0;
    pthread_mutex_unlock(&book.lock);
}

/* The end. */

/* An answer that was cut off by nothing but a gateway told to end, or by
   nothing at all. */
static void
check_lost(const struct soak_request *request)
{
    uint64_t took_ms = request->ended_ms - request->sent_ms;

    if (request->end != SOAK_CUT ||
        took_ms + LOSS_SLACK_MS >= request->limit_ms ||
        (request->runs == 0 &&
         took_ms <= LOSS_SLACK_MS +
                        soak_lag_ms(request->sent_ms, request->ended_ms)) ||
        !is_calm(request, request->sent_ms, request->ended_ms) ||
        !soak_trouble_free_all(SOAK_WORKER, request->sent_ms - SOAK_CONTACT_MS,
                               request->ended_ms)) {
        return;
    }
    fail_request("lost", request, "cut off without a disturbance");
}

void
soak_book_close(void)
{
    uint32_t counts[SOAK_KIND_COUNT] = {0};
    uint32_t served[SOAK_KIND_COUNT] = {0};
    GHashTableIter iter;
    gpointer value;

    pthread_mutex_lock(&book.lock);
    g_hash_table_iter_init(&iter, book.requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct soak_request *request = value;

        check_lost(request);
        counts[request->kind]++;
        served[request->kind] +=
            request->end == SOAK_WHOLE && request->status == STATUS_OK;
    }
    printf("requests=%u unsent=%u whole=%u cut=%u left=%u served",
           g_hash_table_size(book.requests), book.ends[SOAK_UNSENT],
           book.ends[SOAK_WHOLE], book.ends[SOAK_CUT], book.ends[SOAK_LEFT]);
    for (size_t i = 0; i < SOAK_KIND_COUNT; i++) {
        printf(" %u/%u", served[i], counts[i]);
    }
    printf("\n");
    pthread_mutex_unlock(&book.lock);
}
