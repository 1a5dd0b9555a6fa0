#include "tests/soak/soak_operator.h"

#include <glib.h>
#include <stdatomic.h>
#include <string.h>

#include "tests/fakes/fake_server.h"
#include "tests/soak/soak_book.h"
#include "tests/soak/soak_client.h"
#include "tests/soak/soak_fleet.h"

enum {
    CALL_MS = 1000,
    STATUS_OK = 200,
    /* Routes of older versions stay so long. */
    KEPT_VERSIONS = 40,
};

static struct {
    const char *ip;
    _Atomic uint32_t version;
    _Atomic uint32_t key;
} operator;

void
soak_operator_init(const char *ip)
{
    operator.ip = ip;
}

uint32_t
soak_operator_key(void)
{
    return operator.key;
}

uint32_t
soak_operator_version(void)
{
    return operator.version;
}

/* Returns the answer's body, NULL if there was none with status 200. */
static char *
call(uint16_t port, const char *method, const char *target, const char *body)
{
    struct soak_client *client = soak_client_create(operator.ip, port);
    struct soak_answer answer;
    char *request = g_strdup_printf("%s %s HTTP/1.1\r\nHost: soak\r\n"
                                    "Content-Length: %zu\r\n\r\n%s",
                                    method, target, strlen(body), body);
    char *text = NULL;

    soak_client_call(client, request, CALL_MS, &answer);
    if (answer.end == SOAK_WHOLE && answer.status == STATUS_OK) {
        text = g_strdup(answer.body->str);
    }
    soak_answer_clear(&answer);
    soak_client_destroy(client);
    g_free(request);
    return text;
}

static void
put(const char *key, const char *value)
{
    char *target = g_strdup_printf("/control/put?key=%s", key);
    char *answer = NULL;

    /* The store itself may be suspended. */
    while (answer == NULL) {
        answer = call(SOAK_STORE_PORT, "PUT", target, value);
    }
    g_free(answer);
    g_free(target);
}

static void
add_route(GString *out, const char *name, const char *prefix, const char *rest)
{
    g_string_append_printf(
        out,
        "%s{\"name\":\"%s\",\"host\":\"a.example\",\"prefix\":\"/%s/\","
        "\"timeout_ms\":60000,\"priority\":1,\"max_attempts\":2,%s}",
        out->len > 0 ? "," : "", name, prefix, rest);
}

static char *
routes(uint32_t version)
{
    GString *out = g_string_new(NULL);
    uint32_t oldest = version > KEPT_VERSIONS ? version - KEPT_VERSIONS : 1;

    add_route(out, "plain", "plain",
              "\"kind\":\"safe\",\"target_latency_ms\":200,"
              "\"service\":\"plain\",\"public\":false");
    add_route(out, "once", "once",
              "\"kind\":\"unsafe\",\"target_latency_ms\":200,"
              "\"service\":\"plain\",\"public\":true");
    add_route(out, "stream", "stream",
              "\"kind\":\"streaming\",\"target_latency_ms\":300,"
              "\"service\":\"model\",\"public\":true,\"resumable\":true,"
              "\"gap_aim_ms\":250");
    for (uint32_t i = oldest; i <= version; i++) {
        char *name = g_strdup_printf("v%u", i);

        add_route(out, name, name,
                  "\"kind\":\"safe\",\"target_latency_ms\":200,"
                  "\"service\":\"plain\",\"public\":true");
        g_free(name);
    }
    return g_string_free(out, FALSE);
}

static void
write_config(uint32_t version, uint32_t key)
{
    char *list = routes(version);
    char *text = g_strdup_printf(
        "{\"version\":%u,\"routes\":[%s],\"services\":["
        "{\"name\":\"plain\",\"health_check\":\"/healthz\","
        "\"max_conns\":640},"
        "{\"name\":\"model\",\"health_check\":\"/healthz\","
        "\"max_conns\":640,\"engine\":{\"slots\":4,"
        "\"kv_capacity\":400000,\"stride\":10,\"step_ms\":1.5,"
        "\"per_seq_ms\":0.001,\"context_per_k\":0.002,"
        "\"read_per_s\":150000.0,\"pairs_per_m\":0.16,\"chunk\":2048}}],"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        "\"tenants\":[{\"name\":\"uspon\",\"api_keys\":[\"key-%u\"]}]}",
        version, list, key);

    put("op/config", text);
    g_free(text);
    g_free(list);
}

void
soak_operator_configure(void)
{
    uint32_t version = operator.version + 1;

    write_config(version, operator.key);
    soak_book_version(version, fake_clock_ms());
    operator.version = version;
}

void
soak_operator_change_key(void)
{
    uint32_t key = operator.key + 1;
    uint32_t version = operator.version + 1;

    g_assert(key < SOAK_KEYS);
    write_config(version, key);
    soak_book_version(version, fake_clock_ms());
    soak_book_key_added(key, fake_clock_ms());
    soak_book_key_removed(operator.key, fake_clock_ms());
    operator.key = key;
    operator.version = version;
}

void
soak_operator_register(uint32_t worker, const char *state)
{
    char *key = g_strdup_printf("servers/worker-%u", worker + 1);
    char *text;

    if (state == NULL) {
        char *what = g_strdup_printf("remove?key=%s", key);

        while (!soak_operator_switch_store(what)) {
        }
        g_free(what);
    }
    else {
        text = g_strdup_printf(
            "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"here\","
            "\"version\":\"v1\",\"slots\":4,\"state\":\"%s\","
            "\"cold_remaining_ms\":0,\"sequence\":1}",
            worker < SOAK_PLAIN_WORKERS ? "plain" : "model", operator.ip,
            SOAK_WORKER_WAY_PORT + worker, state);
        put(key, text);
        g_free(text);
    }
    soak_book_leaving(worker, state == NULL || strcmp(state, "ready") != 0,
                      fake_clock_ms());
    g_free(key);
}

static bool
use_switch(uint16_t port, const char *what)
{
    char *target = g_strdup_printf("/control/%s", what);
    char *answer = call(port, "PUT", target, "");
    bool ok = answer != NULL;

    g_free(answer);
    g_free(target);
    return ok;
}

bool
soak_operator_switch_store(const char *what)
{
    return use_switch(SOAK_STORE_PORT, what);
}

bool
soak_operator_switch_worker(uint32_t worker, const char *what)
{
    return use_switch((uint16_t)(SOAK_WORKER_PORT + worker), what);
}

int64_t
soak_operator_held(uint32_t worker)
{
    char *text = call((uint16_t)(SOAK_WORKER_PORT + worker), "GET",
                      "/control/stats", "");
    const char *field = text != NULL ? strstr(text, "\"held\":") : NULL;
    int64_t held = -1;

    if (field != NULL) {
        held = g_ascii_strtoll(field + strlen("\"held\":"), NULL, 10);
    }
    g_free(text);
    return held;
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
