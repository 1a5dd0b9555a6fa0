/* Load generator: sends HTTP requests and measures the latency.

   load closed ADDRESSES THREADS SECONDS PATH BODY_BYTES
       Closed loop: each thread sends its next request when it has the response
       to the last one.
   load open ADDRESSES RATE SECONDS SEED SPLIT_TOKENS MAX_TOKENS LONG_ONE_IN
       Open loop: prompts arrive as a Poisson process with RATE per second.
       Their lengths are log-uniform from 1000 tokens to SPLIT_TOKENS; one
       prompt in LONG_ONE_IN is long, from SPLIT_TOKENS to MAX_TOKENS.

   ADDRESSES are up to 16 addresses ip:port, separated by commas and used round
   robin. Prints a line for each band of prompt lengths (closed: one line for
   all requests): the band's upper limit in tokens (up_to; the last band also
   has the longer prompts; closed: always 4000), the number of responses with
   status 200 (answered), with another status (refused) and of failures, the
   responses with status 200 per second, and their time to the first byte of
   the body in milliseconds at p50, p95 and p99. */

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
    BAND_COUNT = 6,
    FIRST_BAND_TOKENS = 4000,
    BAND_FACTOR = 4,
    MIN_TOKENS = 1000,
    BYTES_PER_TOKEN = 4,
    DRAIN_POLL_US = 10000,
    TIMEOUT_S = 300,
    STACK_BYTES = 256 * 1024,
    US_PER_S = 1000000,
    HTTP_OK = 200,
};

struct band {
    GArray *latencies_us; /* uint64_t, from the start to the first byte */
    uint64_t failures;    /* no complete response */
    uint64_t refusals;    /* a status other than 200 */
};

static struct {
    struct ini_address addresses[MAX_ADDRESSES];
    size_t address_count;
    _Atomic uint64_t next_address;
    _Atomic uint32_t in_flight;
    pthread_mutex_t lock;
    struct band bands[BAND_COUNT];
    uint64_t end_us;
    const char *path;
    uint64_t body_bytes;
} load = {.lock = PTHREAD_MUTEX_INITIALIZER};

struct request_sample {
    uint64_t tokens;
    uint64_t seed;
    uint64_t start_us;
    uint64_t first_byte_us; /* 0: not yet received */
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
            fprintf(stderr, "invalid address %s: needs ip:port\n", parts[i]);
            exit(EXIT_FAILURE);
        }
    }
    g_strfreev(parts);
}

static struct http_session *
create_session(bool reuse)
{
    const struct ini_address *address =
        &load.addresses[atomic_fetch_add(&load.next_address, 1) %
                        load.address_count];
    struct http_session *session =
        http_session_create(address->ip, address->port, reuse);

    http_session_set_timeouts(session, TIMEOUT_S, TIMEOUT_S, TIMEOUT_S);
    return session;
}

static bool
on_head(void *context, uint32_t status, const char *content_type)
{
    struct request_sample *sample = context;

    (void)content_type;
    sample->status = status;
    return true;
}

static bool
on_data(void *context, const char *bytes, size_t count)
{
    struct request_sample *sample = context;

    (void)bytes;
    (void)count;
    if (sample->first_byte_us == 0) {
        sample->first_byte_us = clock_us();
    }
    return true;
}

static uint32_t
band_index(uint64_t tokens)
{
    uint64_t limit = FIRST_BAND_TOKENS;
    uint32_t band = 0;

    while (tokens > limit && band + 1 < BAND_COUNT) {
        limit *= BAND_FACTOR;
        band++;
    }
    return band;
}

static void
record_sample(const struct request_sample *sample, bool ok)
{
    struct band *band = &load.bands[band_index(sample->tokens)];
    uint64_t latency_us = sample->first_byte_us - sample->start_us;

    pthread_mutex_lock(&load.lock);
    if (ok && sample->status == HTTP_OK) {
        g_array_append_val(band->latencies_us, latency_us);
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
send_request(struct http_session *session, struct request_sample *sample,
             const char *path, const char *body, size_t body_bytes)
{
    static const struct http_response_handlers handlers = {on_head, on_data};
    /* Requests come from two client accounts, about one in three from the
       first. */
    const struct http_header header = {
        "X-Account", sample->seed % 3 == 0 ? "large" : "own"};
    const struct http_request request = {.method = "POST",
                                         .path = path,
                                         .content_type = "application/json",
                                         .headers = &header,
                                         .header_count = 1,
                                         .body = body,
                                         .body_bytes = body_bytes};
    bool ok;

    sample->start_us = clock_us();
    ok = http_call_stream(session, &request, &handlers, sample, NULL);
    if (sample->first_byte_us < sample->start_us) {
        /* The response had no body. */
        sample->first_byte_us = clock_us();
    }
    record_sample(sample, ok);
}

static void *
run_closed(void *data)
{
    struct http_session *session = create_session(true);
    char *body = g_strnfill(load.body_bytes, 'x');
    struct request_sample sample = {.seed = GPOINTER_TO_SIZE(data)};

    while (clock_us() < load.end_us) {
        sample.first_byte_us = 0;
        send_request(session, &sample, load.path, body, load.body_bytes);
    }
    g_free(body);
    http_session_destroy(session);
    return NULL;
}

/* Makes a prompt whose first half is one of 26 shared prefixes; the seed, at
   the start of the second half, tells the prompts apart. Each word of 8 bytes
   is a multiplicative hash of its position and, in the first half, the letter
   of the prefix. */
static char *
create_prompt_body(const struct request_sample *sample, size_t *bytes)
{
    GString *body = g_string_sized_new(sample->tokens * BYTES_PER_TOKEN + 200);
    size_t text_bytes = sample->tokens * BYTES_PER_TOKEN;
    char prefix_letter = (char)('a' + sample->seed % 26);

    g_string_append(body, "{\"model\":\"savjetnik\",\"stream\":true,"
                          "\"max_tokens\":8,\"prompt\":\"");
    for (size_t i = 0; i < text_bytes; i += 8) {
        char word[9];
        unsigned hash = (unsigned)(i * 2654435761U);

        snprintf(word, sizeof(word), "%07x%c", hash & 0xfffffff,
                 i < text_bytes / 2 ? prefix_letter : ' ');
        if (i >= text_bytes / 2 && i < text_bytes / 2 + 8) {
            snprintf(word, sizeof(word), "%08x", (unsigned)sample->seed);
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
    struct request_sample *sample = data;
    struct http_session *session = create_session(false);
    size_t bytes;
    char *body = create_prompt_body(sample, &bytes);

    send_request(session, sample, "/v1/completions", body, bytes);
    http_session_destroy(session);
    g_free(body);
    g_free(sample);
    atomic_fetch_sub(&load.in_flight, 1);
    return NULL;
}

static uint64_t
random_token_count(GRand *rand, double split_tokens, double max_tokens,
                   int long_one_in)
{
    double lower = MIN_TOKENS;
    double upper = split_tokens;

    if (long_one_in > 0 && g_rand_int_range(rand, 0, long_one_in) == 0) {
        lower = split_tokens;
        upper = max_tokens;
    }
    return (uint64_t)(lower * pow(upper / lower, g_rand_double(rand)));
}

static void
run_open(char **argv)
{
    double rate = g_ascii_strtod(argv[0], NULL);
    GRand *rand =
        g_rand_new_with_seed((guint32)g_ascii_strtoull(argv[2], NULL, 10));
    double split_tokens = g_ascii_strtod(argv[3], NULL);
    double max_tokens = g_ascii_strtod(argv[4], NULL);
    int long_one_in = (int)g_ascii_strtoll(argv[5], NULL, 10);
    uint64_t arrival_us = clock_us();
    pthread_attr_t attributes;

    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, STACK_BYTES);
    while (arrival_us < load.end_us) {
        struct request_sample *sample = g_new0(struct request_sample, 1);
        pthread_t thread;
        uint64_t now_us;

        arrival_us +=
            (uint64_t)(-log(1 - g_rand_double(rand)) / rate * US_PER_S);
        sample->tokens =
            random_token_count(rand, split_tokens, max_tokens, long_one_in);
        sample->seed = g_rand_int(rand);
        now_us = clock_us();
        if (arrival_us > now_us) {
            usleep((useconds_t)(arrival_us - now_us));
        }
        atomic_fetch_add(&load.in_flight, 1);
        if (pthread_create(&thread, &attributes, run_prompt, sample) != 0) {
            atomic_fetch_sub(&load.in_flight, 1);
            load.bands[band_index(sample->tokens)].failures++;
            g_free(sample);
        }
    }
    while (atomic_load(&load.in_flight) > 0) {
        usleep(DRAIN_POLL_US);
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
percentile_ms(const GArray *sorted, double quantile)
{
    guint index = (guint)((double)(sorted->len - 1) * quantile);

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
    if (band->latencies_us->len + band->failures + band->refusals == 0) {
        return;
    }
    printf("up_to=%lu answered=%u refused=%lu failed=%lu per_s=%.1f",
           (unsigned long)limit, band->latencies_us->len,
           (unsigned long)band->refusals, (unsigned long)band->failures,
           band->latencies_us->len / seconds);
    if (band->latencies_us->len > 0) {
        g_array_sort(band->latencies_us, compare_us);
        printf(" p50_ms=%.2f p95_ms=%.2f p99_ms=%.2f",
               percentile_ms(band->latencies_us, 0.50),
               percentile_ms(band->latencies_us, 0.95),
               percentile_ms(band->latencies_us, 0.99));
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
    parse_addresses(argv[2]);
    for (uint32_t i = 0; i < BAND_COUNT; i++) {
        load.bands[i].latencies_us =
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
    for (uint32_t i = 0; i < BAND_COUNT; i++) {
        print_band(i, seconds);
    }
    return EXIT_SUCCESS;
}
