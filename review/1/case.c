/* A key is taken away shortly after the store has come back from an older copy
   of itself. The rule is broken if a request with that key, sent more than
   revoke_ms after the ack, runs. Which gateways miss the change depends on
   when they ask the store; a round in which all have seen it is followed by
   another one with another key, up to three. */

#include <stdio.h>
#include <string.h>

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
    ASK_MS = 4000,
    ROUNDS = 3,
    BETWEEN_MS = 4000, /* contact_ms, 3,000, and one second */
    ASK_PAUSE_MS = 200,
};

/* The version without the first so many keys. */
static const char *
config_without(int taken)
{
    static char text[1024];
    char keys[128] = "";

    for (int i = taken; i < ROUNDS; i++) {
        char key[24];

        snprintf(key, sizeof(key), "\"key-%d\",", i + 1);
        strcat(keys, key);
    }
    snprintf(
        text, sizeof(text),
        "{\"version\":%d,\"routes\":[{\"name\":\"r-lookup\",\"host\":"
        "\"uspon.example\",\"prefix\":\"/lookup/\",\"kind\":\"safe\","
        "\"timeout_ms\":1000,\"target_latency_ms\":200,\"priority\":1,"
        "\"service\":\"raspored\",\"max_attempts\":2,\"public\":false}],"
        "\"services\":[{\"name\":\"raspored\",\"health_check\":"
        "\"/healthz\",\"max_conns\":96}],\"limits\":{"
        "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[%s\"kept-key\"],"
        "\"priority\":1}]}",
        7 + 2 * taken, keys);
    return text;
}

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

static void
check_served(const char *key)
{
    int status;

    for (int i = 0; i < GATEWAYS; i++) {
        if (ask(i, key, "before", &status) != 1 || status != 200) {
            record("the deployment does not serve");
            finish(FLEET_CANNOT_RUN);
        }
    }
}

static void
run_drill(void)
{
    char target[64];
    struct answer answer;

    snprintf(target, sizeof(target), "/control/drill?age_ms=%d&away_ms=%d",
             COPY_AGE_MS, AWAY_MS);
    record("the store goes away");
    call(fleet.store_port, "POST", target, "", "", &answer);
    record("the store is back from a copy: %s", answer.text);
}

/* Returns the number of requests with the key that ran too late. */
static int
run_round(int round)
{
    struct answer answer;
    uint64_t acked_ms;
    char key[24];
    int broken = 0;
    int served = 0;
    int status;

    snprintf(key, sizeof(key), "key-%d", round);
    check_served(key);
    if (trouble()) {
        run_drill();
    }
    sleep_ms(REVOKE_DELAY_MS);
    if (!operator_write("op/config", config_without(round))) {
        record("the store does not take the configuration");
        finish(FLEET_CANNOT_RUN);
    }
    acked_ms = now_ms();
    call(fleet.store_port, "GET", "/control/state", "", "", &answer);
    record("the store has acked the version without %s: %s", key, answer.text);
    sleep_ms(REVOKE_MS + MARGIN_MS);
    while (now_ms() < acked_ms + REVOKE_MS + MARGIN_MS + ASK_MS) {
        for (int i = 0; i < GATEWAYS; i++) {
            broken += ask(i, key, "taken key", &status) > 0 ? 1 : 0;
            served += ask(i, "kept-key", "kept key", &status) > 0 ? 1 : 0;
        }
        sleep_ms(ASK_PAUSE_MS);
    }
    record("round %d: %d requests with the taken key ran, %d with the kept "
           "key",
           round, broken, served);
    return broken;
}

int
main(int argc, char **argv)
{
    int broken = 0;

    fleet_start(argc, argv, GATEWAYS, WORKERS, config_without(0));
    sleep_ms(CALM_MS - BETWEEN_MS);
    for (int round = 1; round <= ROUNDS && broken == 0; round++) {
        sleep_ms(BETWEEN_MS);
        broken = run_round(round);
    }
    record_runs();
    record("%d requests with a taken key ran", broken);
    finish(broken > 0 ? FLEET_BROKEN : FLEET_HELD);
}
