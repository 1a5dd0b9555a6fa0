#include "tests/soak/soak_callers.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <unistd.h>

#include "tests/fakes/fake_server.h"
#include "tests/soak/soak_book.h"
#include "tests/soak/soak_client.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_operator.h"

enum {
    US_PER_MS = 1000,
    MIN_PAUSE_MS = 2,
    MAX_PAUSE_MS = 40,
    /* How long callers wait on after their own limit. */
    PATIENCE_MS = 1500,
    PLAIN_LIMIT_MS = 2000,
    SLOW_LIMIT_MS = 400,
    SLOW_ANSWER_MS = 1500,
    STREAM_LIMIT_MS = 4000,
    LARGE_LIMIT_MS = 6000,
    EVENTS = 12,
    LONG_EVENTS = 60, /* over a second */
    MIN_LEAVE_MS = 50,
    MAX_LEAVE_MS = 800,
    STATUS_OK = 200,
    MONITOR = 9999, /* in the ids of soak_callers_is_served() */
};

struct caller {
    struct soak_callers *callers;
    pthread_t thread;
    GRand *random;
    uint32_t number;
    uint32_t calls;
    struct soak_client *clients[SOAK_GATEWAYS];
};

struct soak_callers {
    const struct soak_fleet *fleet;
    struct caller *list;
    uint32_t count;
    _Atomic bool stop;
};

static bool
chance(struct caller *caller, double share)
{
    return g_rand_double(caller->random) < share;
}

static enum soak_kind
choose_kind(struct caller *caller)
{
    static const double shares[SOAK_KIND_COUNT] = {
        [SOAK_SAFE] = 0.3,    [SOAK_ONCE] = 0.2,   [SOAK_SLOW] = 0.05,
        [SOAK_STREAM] = 0.25, [SOAK_LARGE] = 0.03, [SOAK_VERSION] = 0.17};
    double draw = g_rand_double(caller->random);

    for (int i = 0; i < SOAK_KIND_COUNT; i++) {
        draw -= shares[i];
        if (draw < 0.0) {
            return (enum soak_kind)i;
        }
    }
    return SOAK_SAFE;
}

/* A removed key now and then, the last one as often as all others. */
static uint32_t
choose_key(struct caller *caller)
{
    uint32_t newest = soak_operator_key();

    if (newest > 0 && chance(caller, 0.15)) {
        return newest - 1;
    }
    if (newest > 0 && chance(caller, 0.15)) {
        return (uint32_t)g_rand_int_range(caller->random, 0, (gint32)newest);
    }
    return newest;
}

static void
describe(struct caller *caller, struct soak_request *request)
{
    static const uint32_t limits_ms[SOAK_KIND_COUNT] = {
        [SOAK_SAFE] = PLAIN_LIMIT_MS,  [SOAK_ONCE] = PLAIN_LIMIT_MS,
        [SOAK_SLOW] = SLOW_LIMIT_MS,   [SOAK_STREAM] = STREAM_LIMIT_MS,
        [SOAK_LARGE] = LARGE_LIMIT_MS, [SOAK_VERSION] = PLAIN_LIMIT_MS};

    *request = (struct soak_request){.kind = choose_kind(caller),
                                     .gateway = (uint32_t)g_rand_int_range(
                                         caller->random, 0, SOAK_GATEWAYS),
                                     .key = choose_key(caller),
                                     .version = soak_operator_version()};
    g_snprintf(request->id, sizeof(request->id), "c%u-%u", caller->number,
               caller->calls++);
    request->limit_ms = limits_ms[request->kind];
    request->leave_ms = request->limit_ms + PATIENCE_MS;
    if (request->kind == SOAK_STREAM || request->kind == SOAK_LARGE) {
        request->events = EVENTS;
    }
    if (request->kind == SOAK_STREAM && chance(caller, 0.2)) {
        request->events = LONG_EVENTS;
        request->leave_ms = (uint64_t)g_rand_int_range(
            caller->random, MIN_LEAVE_MS, MAX_LEAVE_MS);
    }
}

static char *
write_target(const struct soak_request *request)
{
    switch (request->kind) {
    case SOAK_SAFE:
        return g_strdup_printf("/plain/%s", request->id);
    case SOAK_ONCE:
        return g_strdup_printf("/once/%s", request->id);
    case SOAK_SLOW:
        return g_strdup_printf("/once/%s?ms=%d", request->id, SLOW_ANSWER_MS);
    case SOAK_VERSION:
        return g_strdup_printf("/v%u/%s", request->version, request->id);
    case SOAK_STREAM:
    case SOAK_LARGE:
    case SOAK_KIND_COUNT:
        break;
    }
    return g_strdup_printf("/stream/%s?events=%u", request->id,
                           request->events);
}

static char *
write_request(const struct soak_request *request)
{
    char *target = write_target(request);
    const char *usage = "";
    char *text;

    if (request->kind == SOAK_STREAM) {
        usage = "Model: m\r\nToken-Usage: 1000,100\r\n";
    }
    else if (request->kind == SOAK_LARGE) {
        usage = "Model: m\r\nToken-Usage: 500000,100\r\n";
    }
    text = g_strdup_printf(
        "%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\n"
        "Deadline-Ms: %lu\r\nCredential: key-%u\r\n%sContent-Length: 4\r\n"
        "\r\nbody",
        request->kind == SOAK_SAFE ? "PUT" : "POST", target, request->id,
        (unsigned long)request->limit_ms, request->key, usage);
    g_free(target);
    return text;
}

static enum soak_end
call(const struct soak_fleet *fleet, struct soak_client *client,
     struct soak_request *request, uint32_t *status)
{
    struct soak_answer answer;
    struct soak_request *noted;
    char *text = write_request(request);
    enum soak_end end;

    request->life = soak_process_life(fleet->gateways[request->gateway]);
    request->sent_ms = fake_clock_ms();
    request->on_kept = soak_client_is_open(client);
    noted = soak_book_sent(request);
    soak_client_call(client, text, request->leave_ms, &answer);
    soak_book_ended(noted, &answer, fake_clock_ms());
    end = answer.end;
    *status = answer.status;
    soak_answer_clear(&answer);
    g_free(text);
    return end;
}

static struct soak_client *
create_client(const struct soak_fleet *fleet, uint32_t gateway)
{
    return soak_client_create(fleet->settings.ip,
                              (uint16_t)(SOAK_CALLERS_WAY_PORT + gateway));
}

static void
call_once(struct caller *caller)
{
    const struct soak_fleet *fleet = caller->callers->fleet;
    struct soak_request request;
    struct soak_client **client;
    uint32_t status;

    describe(caller, &request);
    client = &caller->clients[request.gateway];
    if (*client != NULL && chance(caller, 0.2)) {
        soak_client_destroy(*client);
        *client = NULL;
    }
    if (*client == NULL) {
        *client = create_client(fleet, request.gateway);
    }
    call(fleet, *client, &request, &status);
}

static void *
run_caller(void *data)
{
    struct caller *caller = data;

    while (!atomic_load(&caller->callers->stop)) {
        call_once(caller);
        usleep((useconds_t)g_rand_int_range(caller->random, MIN_PAUSE_MS,
                                            MAX_PAUSE_MS) *
               US_PER_MS);
    }
    return NULL;
}

struct soak_callers *
soak_callers_start(const struct soak_fleet *fleet, uint32_t count,
                   uint64_t seed)
{
    struct soak_callers *callers = g_new0(struct soak_callers, 1);

    callers->fleet = fleet;
    callers->count = count;
    callers->list = g_new0(struct caller, count);
    for (uint32_t i = 0; i < count; i++) {
        struct caller *caller = &callers->list[i];

        caller->callers = callers;
        caller->number = i;
        caller->random = g_rand_new_with_seed((guint32)(seed + i));
        if (pthread_create(&caller->thread, NULL, run_caller, caller) != 0) {
            g_error("no thread for a caller");
        }
    }
    return callers;
}

void
soak_callers_stop(struct soak_callers *callers)
{
    atomic_store(&callers->stop, true);
    for (uint32_t i = 0; i < callers->count; i++) {
        struct caller *caller = &callers->list[i];

        pthread_join(caller->thread, NULL);
        for (size_t j = 0; j < SOAK_GATEWAYS; j++) {
            if (caller->clients[j] != NULL) {
                soak_client_destroy(caller->clients[j]);
            }
        }
        g_rand_free(caller->random);
    }
    g_free(callers->list);
    g_free(callers);
}

static bool
is_served(const struct soak_fleet *fleet, uint32_t gateway,
          enum soak_kind kind)
{
    static uint32_t calls;
    struct soak_client *client = create_client(fleet, gateway);
    struct soak_request request = {.kind = kind,
                                   .gateway = gateway,
                                   .key = soak_operator_key(),
                                   .limit_ms = STREAM_LIMIT_MS,
                                   .leave_ms = STREAM_LIMIT_MS + PATIENCE_MS};
    uint32_t status;
    enum soak_end end;

    if (kind == SOAK_STREAM) {
        request.events = EVENTS;
    }
    g_snprintf(request.id, sizeof(request.id), "c%d-%u", MONITOR, calls++);
    end = call(fleet, client, &request, &status);
    soak_client_destroy(client);
    return end == SOAK_WHOLE && status == STATUS_OK;
}

bool
soak_callers_is_served(const struct soak_fleet *fleet, uint32_t gateway)
{
    return is_served(fleet, gateway, SOAK_SAFE) &&
           is_served(fleet, gateway, SOAK_STREAM);
}
