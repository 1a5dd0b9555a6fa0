/* Load generator.

   load closed ADDRESSES THREADS SECONDS PATH BODY_BYTES
       Closed loop: each thread sends its next call when the last has ended.
   load open ADDRESSES RATE SECONDS SEED CUT_TOKENS LONGEST_TOKENS LONG_SHARE
       Open loop: prompts arrive as a Poisson process of RATE per second.
       Their lengths are log-uniform from 1000 tokens to CUT_TOKENS; one in
       LONG_SHARE is log-uniform from CUT_TOKENS to LONGEST_TOKENS.

   ADDRESSES are ip:port, separated by commas, and used in turn. Prints a line
   for each band of prompt lengths that had calls: answered, refused (another
   status than 200) and failed calls, answered calls per second, and the p50,
   p95 and p99 of the milliseconds to the first byte of the answer. */

#include <glib.h>
#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "core/ini.h"
#include "io/http_call.h"

enum {
    MAX_ADDRESSES = 16,
    BANDS = 6,
    FIRST_BAND_TOKENS = 4000, /* upper bound of the first band */
    BAND_FACTOR = 4,          /* from one band's bound to the next */
    SHORTEST_TOKENS = 1000,
    TOKEN_BYTES = 4,
    TIMEOUT_S = 300,
    STACK_BYTES = 256 * 1024,
    US_PER_S = 1000000,
    HTTP_OK = 200,
};

struct band {
    GArray *first_byte_us; /* uint64_t, for each answered call */
    uint64_t failures;
    uint64_t refusals;
};

static struct {
    struct ini_address addresses[MAX_ADDRESSES];
    size_t address_count;
    _Atomic uint64_t next_address;
    _Atomic uint32_t in_flight;
    pthread_mutex_t lock;
    struct band bands[BANDS];
    uint64_t end_us; /* no calls start after this */
    const char *path;
    uint64_t body_bytes;
} load = {.lock = PTHREAD_MUTEX_INITIALIZER};

struct call {
    uint64_t tokens;
    uint64_t seed;
    uint64_t start_us;
    uint64_t first_byte_us; /* 0: none yet */
    uint32_t status;
};

static uint64_t
clock_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * US_PER_S + (uint64_t)ts.tv_nsec / 1000;
}

static void
parse_addresses(const char *text)
{
    char **parts = g_strsplit(text, ",", MAX_ADDRESSES);

    for (size_t i = 0; parts[i] != NULL; i++) {
        if (!ini_parse_address(parts[i],
                               &load.addresses[load.address_count++])) {
            fprintf(stderr, "not an address (ip:port): %s\n", parts[i]);
            exit(EXIT_FAILURE);
        }
    }
    g_strfreev(parts);
}

static struct http_session *
open_session(bool reuse)
{
    const struct ini_address *address =
        &load.addresses[atomic_fetch_add(&load.next_address, 1) %
                        load.address_count];
    struct http_session *session =
        http_session_create(address->ip, address->port, reuse);

    http_session_set_timeouts(session, TIMEOUT_S, TIMEOUT_S);
    return session;
}

static bool
on_head(void *context, uint32_t status, const char *content_type)
{
    struct call *call = context;

    (void)content_type;
    call->status = status;
    return true;
}

static bool
on_data(void *context, const char *bytes, size_t count)
{
    struct call *call = context;

    (void)bytes;
    (void)count;
    if (call->first_byte_us == 0) {
        call->first_byte_us = clock_us();
    }
    return true;
}

static uint32_t
band_index(uint64_t tokens)
{
    uint64_t limit = FIRST_BAND_TOKENS;
    uint32_t band = 0;

    while (tokens > limit && band + 1 < BANDS) {
        limit *= BAND_FACTOR;
        band++;
    }
    return band;
}

static void
record_call(const struct call *call, bool ok)
{
    struct band *band = &load.bands[band_index(call->tokens)];
    uint64_t latency_us = call->first_byte_us - call->start_us;

    pthread_mutex_lock(&load.lock);
    if (ok && call->status == HTTP_OK) {
        g_array_append_val(band->first_byte_us, latency_us);
    }
    else if (ok) {
        band->refusals++;
    }
    else {
        band->failures++;
    }
    pthread_mutex_unlock(&load.lock);
}

static void
send_call(struct http_session *session, struct call *call, const char *path,
          const char *body, size_t body_bytes)
{
    static const struct http_answer_handlers handlers = {on_head, on_data};
    const struct http_header header = {"X-Account",
                                       call->seed % 3 == 0 ? "large" : "own"};
    const struct http_request request = {.method = "POST",
                                         .path = path,
                                         .content_type = "application/json",
                                         .headers = &header,
                                         .header_count = 1,
                                         .body = body,
                                         .body_bytes = body_bytes};
    bool ok;

    call->start_us = clock_us();
    ok = http_stream(session, &request, &handlers, call, NULL);
    record_call(call, ok);
}

static void *
run_closed(void *data)
{
    struct http_session *session = open_session(true);
    char *body = g_strnfill(load.body_bytes, 'x');
    struct call call = {.seed = GPOINTER_TO_SIZE(data)};

    while (clock_us() < load.end_us) {
        call.first_byte_us = 0;
        send_call(session, &call, load.path, body, load.body_bytes);
    }
    g_free(body);
    http_session_destroy(session);
    return NULL;
}

/* Returns a JSON body whose prompt begins, for half of its text, with one of
   26 shared prefixes. The call's seed follows, so that prompts differ from
   there. */
static char *
prompt_body(const struct call *call, size_t *bytes)
{
    GString *body = g_string_sized_new(call->tokens * TOKEN_BYTES + 200);
    size_t text_bytes = call->tokens * TOKEN_BYTES;
    char prefix = (char)('a' + call->seed % 26);

    g_string_append(body, "{\"model\":\"savjetnik\",\"stream\":true,"
                          "\"max_tokens\":8,\"prompt\":\"");
    for (size_t i = 0; i < text_bytes; i += 8) {
        char word[9];
        unsigned hash = (unsigned)(i * 2654435761U);

        snprintf(word, sizeof(word), "%07x%c", hash & 0xfffffff,
                 i < text_bytes / 2 ? prefix : ' ');
        if (i >= text_bytes / 2 && i < text_bytes / 2 + 8) {
            snprintf(word, sizeof(word), "%08x", (unsigned)call->seed);
        }
        g_string_append_len(body, word, 8);
    }
    g_string_append(body, "\"}");
    *bytes = body->len;
    return g_string_free(body, FALSE);
}

static void *
run_prompt(void *data)
{
    struct call *call = data;
    struct http_session *session = open_session(false);
    size_t bytes;
    char *body = prompt_body(call, &bytes);

    send_call(session, call, "/v1/completions", body, bytes);
    http_session_destroy(session);
    g_free(body);
    g_free(call);
    atomic_fetch_sub(&load.in_flight, 1);
    return NULL;
}

static uint64_t
random_tokens(GRand *rand, double cut_tokens, double longest_tokens,
              int long_share)
{
    double low = SHORTEST_TOKENS;
    double high = cut_tokens;

    if (long_share > 0 && g_rand_int_range(rand, 0, long_share) == 0) {
        low = cut_tokens;
        high = longest_tokens;
    }
    return (uint64_t)(low * pow(high / low, g_rand_double(rand)));
}

static void
run_open(char **argv)
{
    double rate = g_ascii_strtod(argv[0], NULL);
    GRand *rand =
        g_rand_new_with_seed((guint32)g_ascii_strtoull(argv[2], NULL, 10));
    double cut_tokens = g_ascii_strtod(argv[3], NULL);
    double longest_tokens = g_ascii_strtod(argv[4], NULL);
    int long_share = (int)g_ascii_strtoll(argv[5], NULL, 10);
    uint64_t at_us = clock_us();
    pthread_attr_t attributes;

    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, STACK_BYTES);
    while (at_us < load.end_us) {
        struct call *call = g_new0(struct call, 1);
        pthread_t thread;
        uint64_t now_us;

        at_us += (uint64_t)(-log(1 - g_rand_double(rand)) / rate * US_PER_S);
        call->tokens =
            random_tokens(rand, cut_tokens, longest_tokens, long_share);
        call->seed = g_rand_int(rand);
        now_us = clock_us();
        if (at_us > now_us) {
            usleep((useconds_t)(at_us - now_us));
        }
        atomic_fetch_add(&load.in_flight, 1);
        if (pthread_create(&thread, &attributes, run_prompt, call) != 0) {
            atomic_fetch_sub(&load.in_flight, 1);
            load.bands[band_index(call->tokens)].failures++;
            g_free(call);
        }
    }
    while (atomic_load(&load.in_flight) > 0) {
        usleep(10000);
    }
    g_rand_free(rand);
    pthread_attr_destroy(&attributes);
}

static gint
compare_us(gconstpointer a, gconstpointer b)
{
    const uint64_t *first = a;
    const uint64_t *second = b;

    return (*first > *second) - (*first < *second);
}

static double
percentile_ms(const GArray *sorted, double share)
{
    guint index = (guint)((double)(sorted->len - 1) * share);

    return (double)g_array_index(sorted, uint64_t, index) / 1000;
}

static void
print_band(uint32_t index, double seconds)
{
    struct band *band = &load.bands[index];
    uint64_t limit = FIRST_BAND_TOKENS;

    for (uint32_t i = 0; i < index; i++) {
        limit *= BAND_FACTOR;
    }
    if (band->first_byte_us->len + band->failures + band->refusals == 0) {
        return;
    }
    printf("up_to=%lu answered=%u refused=%lu failed=%lu per_s=%.1f",
           (unsigned long)limit, band->first_byte_us->len,
           (unsigned long)band->refusals, (unsigned long)band->failures,
           band->first_byte_us->len / seconds);
    if (band->first_byte_us->len > 0) {
        g_array_sort(band->first_byte_us, compare_us);
        printf(" p50_ms=%.2f p95_ms=%.2f p99_ms=%.2f",
               percentile_ms(band->first_byte_us, 0.50),
               percentile_ms(band->first_byte_us, 0.95),
               percentile_ms(band->first_byte_us, 0.99));
    }
    printf("\n");
}

static int
usage(void)
{
    fprintf(stderr, "usage: load closed|open ADDRESSES ... (see load.c)\n");
    return EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
    double seconds;
    bool closed = argc == 7 && strcmp(argv[1], "closed") == 0;

    if (!closed && (argc != 9 || strcmp(argv[1], "open") != 0)) {
        return usage();
    }
    http_call_init();
    parse_addresses(argv[2]);
    for (uint32_t i = 0; i < BANDS; i++) {
        load.bands[i].first_byte_us =
            g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    seconds = g_ascii_strtod(argv[4], NULL);
    load.end_us = clock_us() + (uint64_t)(seconds * US_PER_S);
    if (closed) {
        size_t count = g_ascii_strtoull(argv[3], NULL, 10);
        pthread_t *threads = g_new0(pthread_t, count);

        load.path = argv[5];
        load.body_bytes = g_ascii_strtoull(argv[6], NULL, 10);
        for (size_t i = 0; i < count; i++) {
            if (pthread_create(&threads[i], NULL, run_closed,
                               GSIZE_TO_POINTER(i)) != 0) {
                return EXIT_FAILURE;
            }
        }
        for (size_t i = 0; i < count; i++) {
            pthread_join(threads[i], NULL);
        }
        g_free(threads);
    }
    else {
        run_open(argv + 3);
    }
    for (uint32_t i = 0; i < BANDS; i++) {
        print_band(i, seconds);
    }
    return EXIT_SUCCESS;
}
