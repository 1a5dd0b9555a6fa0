#include "tests/soak/soak_callers.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <unistd.h>

#include "tests/fakes/fake_server.h"
#include "tests/soak/soak_checker.h"
#include "tests/soak/soak_client.h"
#include "tests/soak/soak_fault_kinds.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_operator.h"

enum {
    US_PER_MS = 1000,
    MIN_PAUSE_MS = 2,
    MAX_PAUSE_MS = 40,
    /* Callers wait so long after their timeout before they disconnect. */
    DISCONNECT_DELAY_MS = 1500,
    PLAIN_TIMEOUT_MS = 2000,
    SLOW_TIMEOUT_MS = 400,
    SLOW_RESPONSE_MS = 1500,
    STREAM_TIMEOUT_MS = 4000,
    LARGE_TIMEOUT_MS = 6000,
    TRICKLED_TIMEOUT_MS = 30000,
    LONG_TIMEOUT_MS = 12000,
    MIN_LONG_MS = 1000,
    MAX_LONG_MS = 8000,
    /* 1 to 50 KB/s. */
    TRICKLED_BYTES = 2048,
    MIN_TRICKLE_PAUSE_MS = 40,
    MAX_TRICKLE_PAUSE_MS = 400,
    MAX_STALL_MS = 7000,
    EVENTS = 12,
    LONG_EVENTS = 60, /* the stream takes over a second */
    MIN_READ_PAUSE_MS = 1,
    MAX_READ_PAUSE_MS = 40,
    MIN_DISCONNECT_MS = 50,
    MAX_DISCONNECT_MS = 800,
    EARLIER_VERSIONS = 8, /* that are asked for beside the newest */
    STATUS_OK = 200,
    IDLE_CONNECTIONS = SOAK_GATEWAY_DESCRIPTORS + 50,
    PROBE_CALLER = 9999, /* caller number in the ids of probes */
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

static const struct kind_info {
    double share; /* of the requests */
    uint32_t timeout_ms;
    uint32_t events; /* 0: no stream */
    uint32_t event_bytes;
    uint32_t prompt_tokens;
} kinds[SOAK_REQUEST_KIND_COUNT] = {
    [SOAK_REQUEST_SAFE] = {0.245, PLAIN_TIMEOUT_MS, 0, 0, 0},
    [SOAK_REQUEST_AT_MOST_ONCE] = {0.15, PLAIN_TIMEOUT_MS, 0, 0, 0},
    [SOAK_REQUEST_SLOW] = {0.05, SLOW_TIMEOUT_MS, 0, 0, 0},
    [SOAK_REQUEST_STREAM] = {0.25, STREAM_TIMEOUT_MS, EVENTS, 0, 1000},
    [SOAK_REQUEST_LARGE] = {0.03, LARGE_TIMEOUT_MS, EVENTS, 0, 500000},
    [SOAK_REQUEST_NEW_ROUTE] = {0.15, PLAIN_TIMEOUT_MS, 0, 0, 0},
    [SOAK_REQUEST_OLD_ROUTE] = {0.1, PLAIN_TIMEOUT_MS, 0, 0, 0},
    /* The stream exceeds what the kernel and the gateway may buffer for a
       caller. */
    [SOAK_REQUEST_SLOWLY_READ] = {0.02, STREAM_TIMEOUT_MS, 120, 24 * 1024,
                                  1000},
    [SOAK_REQUEST_TRICKLED] = {0.0, TRICKLED_TIMEOUT_MS, 20, 3000, 1000},
    [SOAK_REQUEST_CRASHING] = {0.0, PLAIN_TIMEOUT_MS, 0, 0, 0},
    [SOAK_REQUEST_LONG] = {0.005, LONG_TIMEOUT_MS, 0, 0, 0},
};

static struct soak_client *idle_clients[SOAK_GATEWAYS][IDLE_CONNECTIONS];

static bool
chance(struct caller *caller, double share)
{
    return g_rand_double(caller->random) < share;
}

static enum soak_request_kind
choose_kind(struct caller *caller)
{
    static const double crashing_share = 0.1;
    static const double trickled_share = 0.03;
    static const double long_share = 0.1;
    double draw = g_rand_double(caller->random);

    if (soak_operator_crashing() != 0 && chance(caller, crashing_share)) {
        return SOAK_REQUEST_CRASHING;
    }
    if (soak_fault_kind_is_active(FAULT_TERM_GATEWAY) &&
        chance(caller, long_share)) {
        return SOAK_REQUEST_LONG;
    }
    if (soak_fault_kind_is_active(FAULT_SLOW_READERS) &&
        chance(caller, trickled_share)) {
        return SOAK_REQUEST_TRICKLED;
    }
    for (int i = 0; i < SOAK_REQUEST_KIND_COUNT; i++) {
        draw -= kinds[i].share;
        if (draw < 0.0) {
            return (enum soak_request_kind)i;
        }
    }
    return SOAK_REQUEST_SAFE;
}

/* Returns mostly the newest key, at times the permanent one or a removed one:
   the last removed key about as often as all earlier ones together. */
static uint32_t
choose_key(struct caller *caller)
{
    uint32_t newest = soak_operator_newest_key();

    if (chance(caller, 0.2)) {
        return SOAK_PERMANENT_KEY;
    }
    if (newest > 0 && chance(caller, 0.15)) {
        return newest - 1;
    }
    if (newest > 0 && chance(caller, 0.15)) {
        return (uint32_t)g_rand_int_range(caller->random, 0, (gint32)newest);
    }
    return newest;
}

/* Returns the version whose route is asked for: for an added route the newest
   or an earlier one, for a removed route an earlier one. */
static uint32_t
choose_version(struct caller *caller, enum soak_request_kind kind)
{
    uint32_t newest = soak_operator_newest_version();
    uint32_t latest = kind == SOAK_REQUEST_OLD_ROUTE ? newest - 1 : newest;

    if (chance(caller, 0.5) && latest > EARLIER_VERSIONS) {
        return latest -
               (uint32_t)g_rand_int_range(caller->random, 0, EARLIER_VERSIONS);
    }
    return latest;
}

static void
apply_kind(struct soak_request *request)
{
    const struct kind_info *kind = &kinds[request->kind];

    request->timeout_ms = kind->timeout_ms;
    request->disconnect_ms = request->timeout_ms + DISCONNECT_DELAY_MS;
    request->method = request->kind == SOAK_REQUEST_SAFE ? "PUT" : "POST";
    request->events = kind->events;
    request->event_bytes = kind->event_bytes;
}

static void
choose_method(struct caller *caller, struct soak_request *request)
{
    static const char *const methods[] = {"GET", "POST", "HEAD", "OPTIONS"};

    if (soak_fault_kind_is_active(FAULT_METHODS) &&
        request->kind != SOAK_REQUEST_CRASHING) {
        request->method = methods[g_rand_int_range(caller->random, 0,
                                                   G_N_ELEMENTS(methods))];
    }
}

static void
choose_reading(struct caller *caller, struct soak_request *request)
{
    if (request->kind == SOAK_REQUEST_SLOWLY_READ) {
        request->read_pause_ms = (uint32_t)g_rand_int_range(
            caller->random, MIN_READ_PAUSE_MS, MAX_READ_PAUSE_MS);
    }
    else if (request->kind == SOAK_REQUEST_TRICKLED) {
        request->read_pause_ms = (uint32_t)g_rand_int_range(
            caller->random, MIN_TRICKLE_PAUSE_MS, MAX_TRICKLE_PAUSE_MS);
        request->read_bytes = TRICKLED_BYTES;
        request->stall_ms =
            (uint32_t)g_rand_int_range(caller->random, 0, MAX_STALL_MS);
    }
}

static void
choose_request(struct caller *caller, struct soak_request *request)
{
    *request = (struct soak_request){.kind = choose_kind(caller),
                                     .gateway = (uint32_t)g_rand_int_range(
                                         caller->random, 0, SOAK_GATEWAYS),
                                     .key = choose_key(caller)};
    request->version = choose_version(caller, request->kind);
    g_snprintf(request->id, sizeof(request->id), "c%u-%u", caller->number,
               caller->calls++);
    if (request->kind == SOAK_REQUEST_CRASHING) {
        request->crashing = soak_operator_crashing();
    }
    apply_kind(request);
    choose_method(caller, request);
    choose_reading(caller, request);
    if (request->kind == SOAK_REQUEST_LONG) {
        request->work_ms = (uint32_t)g_rand_int_range(
            caller->random, MIN_LONG_MS, MAX_LONG_MS);
    }
    if (request->kind == SOAK_REQUEST_STREAM && chance(caller, 0.2)) {
        request->events = LONG_EVENTS;
        request->disconnect_ms = (uint64_t)g_rand_int_range(
            caller->random, MIN_DISCONNECT_MS, MAX_DISCONNECT_MS);
    }
}

static char *
format_target(const struct soak_request *request)
{
    switch (request->kind) {
    case SOAK_REQUEST_SAFE:
        return g_strdup_printf("/plain/%s", request->id);
    case SOAK_REQUEST_AT_MOST_ONCE:
        return g_strdup_printf("/once/%s", request->id);
    case SOAK_REQUEST_SLOW:
        return g_strdup_printf("/once/%s?ms=%d", request->id,
                               SLOW_RESPONSE_MS);
    case SOAK_REQUEST_LONG:
        return g_strdup_printf("/once/%s?ms=%u", request->id,
                               request->work_ms);
    case SOAK_REQUEST_NEW_ROUTE:
        return g_strdup_printf("/v%u/%s", request->version, request->id);
    case SOAK_REQUEST_OLD_ROUTE:
        return g_strdup_printf("/r%u/%s", request->version, request->id);
    case SOAK_REQUEST_CRASHING:
        return g_strdup_printf("/plain/crashing-%u", request->crashing);
    case SOAK_REQUEST_STREAM:
    case SOAK_REQUEST_LARGE:
    case SOAK_REQUEST_SLOWLY_READ:
    case SOAK_REQUEST_TRICKLED:
    case SOAK_REQUEST_KIND_COUNT:
        break;
    }
    return g_strdup_printf("/stream/%s?events=%u&bytes=%u", request->id,
                           request->events, request->event_bytes);
}

static char *
format_request(const struct soak_request *request)
{
    char *target = format_target(request);
    uint32_t tokens = kinds[request->kind].prompt_tokens;
    char *usage =
        tokens > 0
            ? g_strdup_printf("Model: m\r\nToken-Usage: %u,100\r\n", tokens)
            : g_strdup("");
    char *text;

    text = g_strdup_printf(
        "%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\n"
        "Deadline-Ms: %lu\r\nCredential: key-%u\r\n%sContent-Length: 4\r\n"
        "\r\nbody",
        request->method, target, request->id,
        (unsigned long)request->timeout_ms, request->key, usage);
    g_free(usage);
    g_free(target);
    return text;
}

static enum soak_outcome
call(const struct soak_fleet *fleet, struct soak_client *client,
     struct soak_request *request, uint32_t *status)
{
    struct soak_response response;
    struct soak_request *recorded;
    char *text = format_request(request);
    enum soak_outcome outcome;

    request->incarnation =
        soak_process_incarnation(fleet->gateways[request->gateway]);
    request->sent_ms = fake_clock_ms();
    request->reused_connection = soak_client_is_open(client);
    recorded = soak_checker_request_sent(request);
    soak_client_call(
        client,
        &(struct soak_call){.text = text,
                            .is_head = soak_checker_is_head(request),
                            .disconnect_ms = request->disconnect_ms,
                            .read_pause_ms = request->read_pause_ms,
                            .read_bytes = request->read_bytes,
                            .stall_ms = request->stall_ms},
        &response);
    soak_checker_request_ended(recorded, &response, fake_clock_ms());
    outcome = response.outcome;
    *status = response.status;
    soak_client_clear_response(&response);
    g_free(text);
    return outcome;
}

static struct soak_client *
create_client(const struct soak_fleet *fleet, uint32_t port)
{
    return soak_client_create(fleet->settings.ip, (uint16_t)port);
}

/* Calls over a connection of its own. Returns whether there was a success. */
static bool
call_once(const struct soak_fleet *fleet, uint32_t port,
          struct soak_request *request)
{
    struct soak_client *client = create_client(fleet, port + request->gateway);
    uint32_t status;
    enum soak_outcome outcome = call(fleet, client, request, &status);

    soak_client_destroy(client);
    return outcome == SOAK_OUTCOME_COMPLETE && status == STATUS_OK;
}

static void
call_gateway(struct caller *caller)
{
    const struct soak_fleet *fleet = caller->callers->fleet;
    struct soak_request request;
    struct soak_client **client;
    uint32_t status;

    choose_request(caller, &request);
    client = &caller->clients[request.gateway];
    if (request.read_pause_ms != 0) {
        /* Without a proxy, which would read what the caller does not. */
        call_once(fleet, SOAK_GATEWAY_PORT, &request);
        return;
    }
    if (*client != NULL && chance(caller, 0.2)) {
        soak_client_destroy(*client);
        *client = NULL;
    }
    if (*client == NULL) {
        *client =
            create_client(fleet, SOAK_CALLERS_PROXY_PORT + request.gateway);
    }
    call(fleet, *client, &request, &status);
}

static void *
run_caller(void *data)
{
    struct caller *caller = data;

    while (!atomic_load(&caller->callers->stop)) {
        call_gateway(caller);
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
            g_error("can't start a caller's thread");
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

void
soak_callers_open_idle(const struct soak_fleet *fleet, uint32_t gateway)
{
    static const struct soak_call call = {
        .text = "GET /none/ HTTP/1.1\r\nHost: a.example\r\n\r\n",
    };

    for (uint32_t i = 0; i < IDLE_CONNECTIONS; i++) {
        struct soak_client *client =
            create_client(fleet, SOAK_GATEWAY_PORT + gateway);

        soak_client_send(client, &call);
        idle_clients[gateway][i] = client;
    }
}

void
soak_callers_close_idle(uint32_t gateway)
{
    for (uint32_t i = 0; i < IDLE_CONNECTIONS; i++) {
        soak_client_destroy(idle_clients[gateway][i]);
    }
}

static bool
probe_kind(const struct soak_fleet *fleet, uint32_t gateway,
           enum soak_request_kind kind)
{
    static uint32_t calls;
    struct soak_request request = {.kind = kind,
                                   .gateway = gateway,
                                   .key = soak_operator_newest_key(),
                                   .version = soak_operator_newest_version()};

    apply_kind(&request);
    g_snprintf(request.id, sizeof(request.id), "c%d-%u", PROBE_CALLER,
               calls++);
    return call_once(fleet, SOAK_CALLERS_PROXY_PORT, &request);
}

bool
soak_callers_probe(const struct soak_fleet *fleet, uint32_t gateway)
{
    return probe_kind(fleet, gateway, SOAK_REQUEST_SAFE) &&
           probe_kind(fleet, gateway, SOAK_REQUEST_STREAM) &&
           probe_kind(fleet, gateway, SOAK_REQUEST_NEW_ROUTE);
}
