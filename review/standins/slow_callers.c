#include "review/standins/slow_callers.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/standins/fleet.h"

enum {
    GATEWAYS = 2,
    WORKERS = 3,
    CALM_MS = 4000, /* contact_ms, 3,000, and one second */
    CALLERS = 8,
    HANGUP_TO_SEND_MS = 300, /* config_apply_ms is 2,000 */
    READ_PAUSE_MS = 100,
    READS_PER_S = 10,
    ALLOWED = 3,
    BUFFER_BYTES = 256 * 1024,
};

struct caller {
    pthread_t thread;
    int fd;
    char id[16];
    uint64_t sent_ms;
    uint64_t ended_ms;
    size_t bytes;
    bool complete;
};

static struct caller callers[CALLERS];
static const struct slow_callers *settings;

static bool
is_complete(const char *bytes, size_t count)
{
    static const char end[] = "\r\n0\r\n\r\n";

    return count >= strlen(end) &&
           memcmp(bytes + count - strlen(end), end, strlen(end)) == 0;
}

/* The connection's first request, whose answer is read at once. */
static bool
warm_up(struct caller *caller, int number)
{
    char request[256];
    char answer[1024] = "";
    size_t count = 0;
    ssize_t got;

    snprintf(request, sizeof(request),
             "GET /lookup/1 HTTP/1.1\r\nHost: uspon.example\r\n"
             "Attempt-Id: first%d\r\nDeadline-Ms: 1000\r\n"
             "Credential: kept-key\r\n\r\n",
             number);
    send(caller->fd, request, strlen(request), MSG_NOSIGNAL);
    while (strstr(answer, "GET /lookup/1 \n") == NULL) {
        got = recv(caller->fd, answer + count, sizeof(answer) - 1 - count, 0);
        if (got <= 0) {
            return false;
        }
        count += (size_t)got;
    }
    return strncmp(answer, "HTTP/1.1 200", 12) == 0;
}

static void *
read_stream(void *data)
{
    size_t step = settings->rate_bytes_per_s / READS_PER_S;
    struct caller *caller = data;
    char *bytes = __builtin_alloca(BUFFER_BYTES);
    char request[256];
    ssize_t got;

    snprintf(request, sizeof(request),
             "POST %s HTTP/1.1\r\nHost: uspon.example\r\n"
             "Attempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: kept-key\r\n"
             "Content-Length: 0\r\n\r\n",
             settings->target, caller->id, settings->limit_ms);
    caller->sent_ms = now_ms();
    send(caller->fd, request, strlen(request), MSG_NOSIGNAL);
    while (caller->bytes < BUFFER_BYTES && !caller->complete) {
        size_t room = BUFFER_BYTES - caller->bytes;

        got = recv(caller->fd, bytes + caller->bytes,
                   trouble() && step < room ? step : room, 0);
        if (got <= 0) {
            break;
        }
        caller->bytes += (size_t)got;
        caller->complete = is_complete(bytes, caller->bytes);
        if (trouble()) {
            sleep_ms(READ_PAUSE_MS);
        }
    }
    caller->ended_ms = now_ms();
    close(caller->fd);
    return NULL;
}

static void
open_callers(void)
{
    for (int i = 0; i < CALLERS; i++) {
        struct caller *caller = &callers[i];

        snprintf(caller->id, sizeof(caller->id), "slow%d", i);
        caller->fd = dial_with_buffer(fleet.gateway_ports[0],
                                      settings->receive_buffer_bytes);
        if (caller->fd < 0 || !warm_up(caller, i)) {
            record("the deployment does not serve");
            finish(FLEET_CANNOT_RUN);
        }
    }
}

void
slow_callers_run(int argc, char **argv, const struct slow_callers *given)
{
    int lost = 0;

    settings = given;
    fleet_start(argc, argv, GATEWAYS, WORKERS, settings->config);
    sleep_ms(CALM_MS);
    open_callers();
    kill(fleet.gateway_pids[0], SIGHUP);
    record("SIGHUP to gateway 1");
    sleep_ms(HANGUP_TO_SEND_MS);
    for (int i = 0; i < CALLERS; i++) {
        pthread_create(&callers[i].thread, NULL, read_stream, &callers[i]);
    }
    for (int i = 0; i < CALLERS; i++) {
        pthread_join(callers[i].thread, NULL);
    }
    for (int i = 0; i < CALLERS; i++) {
        const struct caller *caller = &callers[i];
        uint64_t took_ms = caller->ended_ms - caller->sent_ms;
        bool whole = stream_was_whole(caller->id);

        record("id %s sent at %lu: %zu bytes read, %s after %lu ms; run %d "
               "times, %s by the worker",
               caller->id, (unsigned long)caller->sent_ms, caller->bytes,
               caller->complete ? "complete" : "cut off",
               (unsigned long)took_ms, count_runs(caller->id),
               whole ? "sent to its end" : "not sent to its end");
        lost += whole && !caller->complete &&
                        took_ms < (uint64_t)settings->limit_ms
                    ? 1
                    : 0;
    }
    record_runs();
    record("%d of %d streams were cut off before their time", lost, CALLERS);
    finish(lost > ALLOWED ? FLEET_BROKEN : FLEET_HELD);
}
