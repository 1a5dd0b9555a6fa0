#include "tests/soak/soak_operator.h"

#include <glib.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/fakes/fake_server.h"
#include "tests/soak/soak_checker.h"
#include "tests/soak/soak_client.h"
#include "tests/soak/soak_cold.h"
#include "tests/soak/soak_fleet.h"

enum {
    CALL_TIMEOUT_MS = 1000,
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    MS_PER_S = 1000,
    /* Cold workers crash so much later than the bound holds, so that the
       requests of a second are seen before. */
    CRASH_DELAY_MS = 1500,
    /* The configuration has the routes of so many older versions: more than
       are written while a request may be held before its gateway. */
    KEPT_VERSIONS = 120,
    GROWN_ROUTES = 1600,
    /* What the operator and the workers write, as numbers of items. */
    ITEM_CONFIG = 0,
    ITEM_WORKERS = 1,
    ITEM_ZONES = ITEM_WORKERS + SOAK_WORKERS,
    ITEM_COUNT = ITEM_ZONES + SOAK_ZONES,
};

/* Unix time; the instances of a worker start a millisecond after each other.
 */
static const unsigned long first_born_ms = 1790000000000;

static const char *const zone_names[SOAK_ZONES] = {"here", "there", "beyond"};

static struct {
    const char *ip;
    _Atomic uint32_t version;
    _Atomic uint32_t key;
    uint32_t written_version; /* these may not be known to callers yet */
    uint32_t written_key;
    struct {
        uint64_t written_ms;
        bool lost; /* the store's copy may lack what was written */
    } items[ITEM_COUNT];
    bool evacuated[SOAK_ZONES];
    bool grown; /* the configuration has GROWN_ROUTES more */
    uint64_t born_ms[SOAK_WORKERS];
    uint64_t cold_until_ms[SOAK_WORKERS];
    const char *state[SOAK_WORKERS]; /* as registered; NULL: not */
    _Atomic uint32_t crashing; /* number of the crashing request; 0: none */
    uint32_t last_crashing;
} operator;

void
soak_operator_init(const char *ip)
{
    operator.ip = ip;
}

uint32_t
soak_operator_newest_key(void)
{
    return operator.key;
}

uint32_t
soak_operator_newest_version(void)
{
    return operator.version;
}

/* Ends the run if the process does not know the target. Returns the response
   body, to free with g_free(), or NULL if there was no
   response with status 200. */
static char *
call(uint16_t port, const char *method, const char *target, const char *body)
{
    struct soak_client *client = soak_client_create(operator.ip, port);
    struct soak_response response;
    char *request = g_strdup_printf("%s %s HTTP/1.1\r\nHost: soak\r\n"
                                    "Content-Length: %zu\r\n\r\n%s",
                                    method, target, strlen(body), body);
    char *text = NULL;

    soak_client_call(
        client,
        &(struct soak_call){.text = request, .disconnect_ms = CALL_TIMEOUT_MS},
        &response);
    if (response.outcome == SOAK_OUTCOME_COMPLETE &&
        response.status == STATUS_OK) {
        text = g_strdup(response.body->str);
    }
    else if (response.status == STATUS_NOT_FOUND) {
        fprintf(stderr,
                "unknown behaviour: the process at port %u does not "
                "know %s\n",
                port, target);
        exit(EXIT_FAILURE);
    }
    soak_client_clear_response(&response);
    soak_client_destroy(client);
    g_free(request);
    return text;
}

void
soak_operator_put(const char *key, const char *value)
{
    char *target = g_strdup_printf("/control/put?key=%s", key);
    char *response = NULL;

    /* The store may be suspended: repeats until it responds. */
    while (response == NULL) {
        response = call(SOAK_STORE_PORT, "PUT", target, value);
    }
    g_free(response);
    g_free(target);
}

void
soak_operator_remove(const char *key)
{
    char *command = g_strdup_printf("remove?key=%s", key);

    while (!soak_operator_control_store(command)) {
    }
    g_free(command);
}

static void
append_route(GString *out, const char *name, const char *prefix,
             const char *rest)
{
    g_string_append_printf(
        out,
        "%s{\"name\":\"%s\",\"host\":\"a.example\",\"prefix\":\"/%s/\","
        "\"timeout_ms\":60000,\"priority\":1,\"max_attempts\":2,%s}",
        out->len > 0 ? "," : "", name, prefix, rest);
}

static void
append_numbered_routes(GString *out, char letter, uint32_t first,
                       uint32_t last)
{
    for (uint32_t i = first; i <= last; i++) {
        char *name = g_strdup_printf("%c%u", letter, i);

        append_route(out, name, name,
                     "\"kind\":\"safe\",\"target_latency_ms\":200,"
                     "\"service\":\"plain\",\"public\":true");
        g_free(name);
    }
}

static char *
format_routes(uint32_t version)
{
    GString *out = g_string_new(NULL);
    uint32_t oldest = version > KEPT_VERSIONS ? version - KEPT_VERSIONS : 1;

    append_route(out, "plain", "plain",
                 "\"kind\":\"safe\",\"target_latency_ms\":200,"
                 "\"service\":\"plain\",\"public\":false");
    append_route(out, "once", "once",
                 "\"kind\":\"unsafe\",\"target_latency_ms\":200,"
                 "\"service\":\"plain\",\"public\":true");
    append_route(out, "stream", "stream",
                 "\"kind\":\"streaming\",\"target_latency_ms\":300,"
                 "\"service\":\"model\",\"public\":true,\"resumable\":true,"
                 "\"gap_aim_ms\":250");
    append_numbered_routes(out, 'v', oldest, version);
    append_numbered_routes(out, 'r', version, version);
    if (operator.grown) {
        append_numbered_routes(out, 'g', 1, GROWN_ROUTES);
    }
    return g_string_free(out, FALSE);
}

static void
write_config(void)
{
    uint32_t version = operator.written_version;
    char *list = format_routes(version);
    char *text = g_strdup_printf(
        "{\"version\":%u,\"routes\":[%s],\"services\":["
        "{\"name\":\"plain\",\"health_check\":\"/healthz\","
        "\"max_conns\":640,\"cold_start_s\":%d,\"cold_per_s\":%u},"
        "{\"name\":\"model\",\"health_check\":\"/healthz\","
        "\"max_conns\":640,\"cold_start_s\":%d,\"cold_per_s\":%u,\"engine\":{"
        "\"slots\":4,"
        "\"kv_capacity\":400000,\"stride\":10,\"step_ms\":1.5,"
        "\"per_seq_ms\":0.001,\"context_per_k\":0.002,"
        "\"read_per_s\":150000.0,\"pairs_per_m\":0.16,\"chunk\":2048}}],"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        "\"tenants\":[{\"name\":\"uspon\",\"api_keys\":["
        "\"key-%u\",\"key-%u\"]}]}",
        version, list, SOAK_COLD_START_MS / MS_PER_S, soak_cold_per_s(0),
        SOAK_COLD_START_MS / MS_PER_S,
        soak_cold_per_s(SOAK_PLAIN_WORKERS), operator.written_key,
        SOAK_PERMANENT_KEY);

    soak_operator_put("op/config", text);
    g_free(text);
    g_free(list);
}

static uint32_t
worker_port(uint32_t worker)
{
    return worker + (operator.crashing != 0 && worker<SOAK_PLAIN_WORKERS
                         ? SOAK_WORKER_PORT
                         : SOAK_WORKER_PROXY_PORT);
}

char *
soak_operator_worker_address(uint32_t worker)
{
    return g_strdup_printf("%s:%u", operator.ip, worker_port(worker));
}

static void
write_registration(uint32_t worker)
{
    const char *state = operator.state[worker];
    char *key = g_strdup_printf("servers/worker-%u", worker + 1);
    char *address = soak_operator_worker_address(worker);
    uint64_t now_ms = fake_clock_ms();
    uint64_t cold_until_ms = MAX(operator.cold_until_ms[worker], now_ms);
    char *text;

    if (state == NULL) {
        soak_operator_remove(key);
    }
    else {
        text = g_strdup_printf(
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
            "\"cold_remaining_ms\":%lu,\"sequence\":1,\"born\":%lu}",
            worker < SOAK_PLAIN_WORKERS ? "plain" : "model", address,
            zone_names[worker % SOAK_ZONES], state,
            (unsigned long)(cold_until_ms - now_ms),
            first_born_ms + (unsigned long)operator.born_ms[worker]);
        soak_operator_put(key, text);
        g_free(text);
    }
    g_free(address);
    g_free(key);
}

static void
write_evacuation(uint32_t zone)
{
    char *key = g_strdup_printf("op/evacuate/%s", zone_names[zone]);

    if (operator.evacuated[zone]) {
        soak_operator_put(key, "{}");
    }
    else {
        soak_operator_remove(key);
    }
    g_free(key);
}

/* Writes an item as it is now. */
static void
write_item(uint32_t item)
{
    if (item == ITEM_CONFIG) {
        write_config();
    }
    else if (item < ITEM_ZONES) {
        write_registration(item - ITEM_WORKERS);
    }
    else {
        write_evacuation(item - ITEM_ZONES);
    }
    operator.items[item].written_ms = fake_clock_ms();
    operator.items[item].lost = false;
}

bool
soak_operator_drill(uint32_t age_ms)
{
    char *command = g_strdup_printf("drill?age_ms=%u", age_ms);
    uint64_t copied_ms = fake_clock_ms() - age_ms;
    bool ok = soak_operator_control_store(command);

    for (uint32_t i = 0; ok && i < ITEM_COUNT; i++) {
        operator.items[i].lost |= operator.items[i].written_ms >= copied_ms;
    }
    g_free(command);
    return ok;
}

bool
soak_operator_write_lost(uint32_t first)
{
    for (uint32_t i = 0; i < ITEM_COUNT; i++) {
        uint32_t item = (first + i) % ITEM_COUNT;

        if (operator.items[item].lost) {
            write_item(item);
            return true;
        }
    }
    return false;
}

/* Writes the next version, with that key. */
static void
write_version(uint32_t key)
{
    operator.written_version = operator.version + 1;
    operator.written_key = key;
    write_item(ITEM_CONFIG);
    soak_checker_changed(
        SOAK_CHANGE_VERSION_WRITTEN, operator.written_version);
    operator.version = operator.written_version;
}

void
soak_operator_add_route(void)
{
    write_version(operator.key);
}

void
soak_operator_grow(bool grown)
{
    operator.grown = grown;
    write_version(operator.key);
}

void
soak_operator_replace_key(void)
{
    uint32_t key = operator.key + 1;

    g_assert(key < SOAK_PERMANENT_KEY);
    write_version(key);
    soak_checker_changed(SOAK_CHANGE_KEY_ADDED, key);
    soak_checker_changed(SOAK_CHANGE_KEY_REMOVED, operator.key);
    operator.key = key;
}

static void
register_plain_workers(void)
{
    for (uint32_t i = 0; i < SOAK_PLAIN_WORKERS; i++) {
        soak_operator_set_registration(i, "ready");
    }
}

void
soak_operator_begin_crashing(void)
{
    operator.crashing = ++ operator.last_crashing;
    register_plain_workers();
}

void
soak_operator_end_crashing(void)
{
    operator.crashing = 0;
    register_plain_workers();
}

uint32_t
soak_operator_crashing(void)
{
    return operator.crashing;
}

bool
soak_operator_arm_worker(uint32_t worker)
{
    char *command = g_strdup_printf(
        "crash?path=/plain/crashing-%u&body=body", operator.crashing);
    bool ok = soak_operator_control_worker(worker, command);

    g_free(command);
    return ok;
}

void
soak_operator_set_registration(uint32_t worker, const char *state)
{
    operator.state[worker] = state;
    write_item(ITEM_WORKERS + worker);
    soak_checker_changed(state == NULL || strcmp(state, "ready") != 0
                             ? SOAK_CHANGE_WORKER_DRAINS
                             : SOAK_CHANGE_WORKER_READY,
                         worker);
}

void
soak_operator_evacuate(uint32_t zone, bool evacuated)
{
    operator.evacuated[zone] = evacuated;
    if (!evacuated) {
        soak_checker_changed(SOAK_CHANGE_ZONE_IN_USE, zone);
    }
    write_item(ITEM_ZONES + zone);
    if (evacuated) {
        soak_checker_changed(SOAK_CHANGE_ZONE_EVACUATED, zone);
    }
}

uint32_t
soak_operator_draining_worker(uint32_t otherwise)
{
    for (uint32_t i = 0; i < SOAK_WORKERS; i++) {
        if (operator.state[i] != NULL &&
            strcmp(operator.state[i], "draining") == 0) {
            return i;
        }
    }
    return otherwise;
}

void
soak_operator_register_again(uint32_t worker)
{
    write_item(ITEM_WORKERS + worker);
}

bool
soak_operator_make_cold(uint32_t worker, uint64_t cold_ms, bool says)
{
    uint64_t known_after_ms = says ? SOAK_DRAIN_MS : 0;
    uint64_t until_ms = fake_clock_ms() + cold_ms;
    char *command =
        g_strdup_printf("overrun?ms=%lu&limit=%u&after=%lu",
                        (unsigned long)cold_ms, soak_cold_bound(worker),
                        (unsigned long)known_after_ms + CRASH_DELAY_MS);
    bool ok = operator.state[worker] == NULL ||
              soak_operator_control_worker(worker, command);

    g_free(command);
    if (!ok || operator.state[worker] == NULL) {
        return ok;
    }
    operator.cold_until_ms[worker] = until_ms;
    if (says) {
        soak_operator_set_registration(worker, operator.state[worker]);
    }
    soak_checker_worker_cold(worker, known_after_ms, until_ms);
    return true;
}

void
soak_operator_new_instance(uint32_t worker)
{
    operator.born_ms[worker]++;
    soak_checker_changed(SOAK_CHANGE_WORKER_INSTANCE, worker);
}

static bool
send_command(uint16_t port, const char *command, const char *body)
{
    char *target = g_strdup_printf("/control/%s", command);
    char *response = call(port, "PUT", target, body);
    bool ok = response != NULL;

    g_free(response);
    g_free(target);
    return ok;
}

bool
soak_operator_control_store(const char *command)
{
    return send_command(SOAK_STORE_PORT, command, "");
}

bool
soak_operator_control_worker(uint32_t worker, const char *command)
{
    return soak_operator_control_worker_with(worker, command, "");
}

bool
soak_operator_control_worker_with(uint32_t worker, const char *command,
                                  const char *body)
{
    return send_command((uint16_t)(SOAK_WORKER_PORT + worker), command, body);
}

int64_t
soak_operator_reserved_tokens(uint32_t worker)
{
    char *text = call((uint16_t)(SOAK_WORKER_PORT + worker), "GET",
                      "/control/stats", "");
    const char *field = text != NULL ? strstr(text, "\"held\":") : NULL;
    int64_t tokens = -1;

    if (field != NULL) {
        tokens = g_ascii_strtoll(field + strlen("\"held\":"), NULL, 10);
    }
    g_free(text);
    return tokens;
}

bool
soak_operator_gateway_ready(uint32_t gateway)
{
    char *text = call((uint16_t)(SOAK_STATUS_PORT + gateway), "GET",
                      "/dandelionfork/ready", "");
    bool ready = text != NULL;

    g_free(text);
    return ready;
}
