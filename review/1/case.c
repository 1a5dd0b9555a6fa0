/* A key is taken away shortly after the store has come back from an older copy
   of itself. The rule is broken if a request with that key, sent more than
   revoke_ms after the ack, runs. */

#include <stdio.h>

#include "review/standins/fleet.h"

enum {
    GATEWAYS = 4,
    WORKERS = 17,
    CALM_MS = 8000,
    COPY_AGE_MS = 5000,
    AWAY_MS = 1000,
    REVOKE_DELAY_MS = 1000,
    REVOKE_MS = 5000, /* the bound revoke_ms */
    MARGIN_MS = 1000,
    ASK_MS = 8000,
    ASK_PAUSE_MS = 200,
};

#define CONFIG(version, keys)                                                 \
    "{\"version\":" version ",\"routes\":[{\"name\":\"r-lookup\",\"host\":"   \
    "\"uspon.example\",\"prefix\":\"/lookup/\",\"kind\":\"safe\","            \
    "\"timeout_ms\":1000,\"target_latency_ms\":200,\"priority\":1,"           \
    "\"service\":\"raspored\",\"max_attempts\":2,\"public\":false}],"         \
    "\"services\":[{\"name\":\"raspored\",\"health_check\":\"/healthz\","     \
    "\"max_conns\":96}],\"limits\":{\"max_header_bytes\":16384,"              \
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"                  \
    "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\","          \
    "\"api_keys\":[" keys "],\"priority\":1}]}"

static int number;

/* Returns how often it ran. */
static int
ask(int gateway, const char *key, const char *what, int *status)
{
    char id[32];
    char headers[160];
    struct answer answer;
    uint64_t sent_ms = now_ms();
    int runs;

    snprintf(id, sizeof(id), "a%05d", ++number);
    snprintf(headers, sizeof(headers),
             "Attempt-Id: %s\r\nDeadline-Ms: 1000\r\nCredential: %s\r\n", id,
             key);
    call(fleet.gateway_ports[gateway], "GET", "/lookup/1", headers, "",
         &answer);
    runs = count_runs(id);
    *status = answer.status;
    record("%s: id %s to gateway %d, sent at %lu, answered %d, ran %d times",
           what, id, gateway + 1, (unsigned long)sent_ms, answer.status, runs);
    return runs;
}

int
main(int argc, char **argv)
{
    struct answer answer;
    uint64_t acked_ms;
    int broken = 0;
    int served = 0;
    int status;

    fleet_start(argc, argv, GATEWAYS, WORKERS,
                CONFIG("7", "\"kept-key\",\"taken-key\""));
    sleep_ms(CALM_MS);
    for (int i = 0; i < GATEWAYS; i++) {
        if (ask(i, "taken-key", "before", &status) != 1 || status != 200) {
            record("the deployment does not serve");
            finish(FLEET_CANNOT_RUN);
        }
    }
    if (trouble()) {
        char target[64];

        snprintf(target, sizeof(target), "/control/drill?age_ms=%d&away_ms=%d",
                 COPY_AGE_MS, AWAY_MS);
        record("the store goes away");
        call(fleet.store_port, "POST", target, "", "", &answer);
        record("the store is back from a copy: %s", answer.text);
    }
    sleep_ms(REVOKE_DELAY_MS);
    if (!operator_write("op/config", CONFIG("9", "\"kept-key\""))) {
        record("the store does not take the configuration");
        finish(FLEET_CANNOT_RUN);
    }
    acked_ms = now_ms();
    call(fleet.store_port, "GET", "/control/state", "", "", &answer);
    record("the store has acked the version without the key: %s", answer.text);
    sleep_ms(REVOKE_MS + MARGIN_MS);
    while (now_ms() < acked_ms + REVOKE_MS + MARGIN_MS + ASK_MS) {
        for (int i = 0; i < GATEWAYS; i++) {
            broken += ask(i, "taken-key", "taken key", &status) > 0 ? 1 : 0;
            served += ask(i, "kept-key", "kept key", &status) > 0 ? 1 : 0;
        }
        sleep_ms(ASK_PAUSE_MS);
    }
    record_runs();
    record("%d requests with the taken key ran, %d with the kept key", broken,
           served);
    finish(broken > 0 ? FLEET_BROKEN : FLEET_HELD);
}
