#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define IP "127.0.0.1"

enum {
    MAX_PROCESSES = 64,
    BEAT_MS = 1200,
    READY_MS = 10000,
    MAX_RUN_S = 115,
    FIRST_PORT = 10000,
    PORTS = 20000,
    MAX_PORTS = 64,
};

struct fleet fleet;

static pid_t processes[MAX_PROCESSES];
static int process_count;
static int reserved_fds[MAX_PORTS];
static int reserved_count;
static FILE *record_file;
static uint64_t start_ms;
static char repository[256];
static char standins[256];
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static uint64_t
clock_ms(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (uint64_t)time.tv_sec * 1000 + (uint64_t)time.tv_nsec / 1000000;
}

uint64_t
now_ms(void)
{
    return clock_ms() - start_ms;
}

void
sleep_ms(uint64_t ms)
{
    struct timespec time = {.tv_sec = (time_t)(ms / 1000),
                            .tv_nsec = (long)(ms % 1000) * 1000000};

    nanosleep(&time, NULL);
}

bool
trouble(void)
{
    const char *text = getenv("TROUBLE");

    return text == NULL || strcmp(text, "0") != 0;
}

void
record(const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%6lu ", (unsigned long)now_ms());
    va_start(arguments, format);
    vfprintf(record_file, format, arguments);
    va_end(arguments);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

static void
end_processes(void)
{
    for (int i = 0; i < process_count; i++) {
        kill(processes[i], SIGKILL);
        kill(processes[i], SIGCONT);
    }
    for (int i = 0; i < process_count; i++) {
        waitpid(processes[i], NULL, 0);
    }
}

static void
remove_folder(void)
{
    char path[128];

    for (int i = 0; i < FLEET_MAX_WORKERS; i++) {
        snprintf(path, sizeof(path), "%s/worker-%d.log", fleet.folder, i);
        unlink(path);
        snprintf(path, sizeof(path), "%s/gateway-%d.log", fleet.folder, i);
        unlink(path);
        snprintf(path, sizeof(path), "%s/gateway-%d.ini", fleet.folder, i);
        unlink(path);
    }
    snprintf(path, sizeof(path), "%s/store.log", fleet.folder);
    unlink(path);
    rmdir(fleet.folder);
}

void
finish(int status)
{
    end_processes();
    if (getenv("KEEP") == NULL) {
        remove_folder();
    }
    record("exit status %d", status);
    fclose(record_file);
    _exit(status);
}

static void
on_alarm(int signal_number)
{
    (void)signal_number;
    end_processes();
    _exit(FLEET_CANNOT_RUN);
}

/* A free port below those that the system gives to outgoing connections, which
   could take it before its process listens. It stays bound until
   release_ports(), so that the ports of one case differ. */
static uint16_t
free_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};

    inet_pton(AF_INET, IP, &address.sin_addr);
    for (;;) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        uint16_t port = (uint16_t)(FIRST_PORT + random() % PORTS);

        address.sin_port = htons(port);
        if (reserved_count < MAX_PORTS &&
            bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0) {
            reserved_fds[reserved_count++] = fd;
            return port;
        }
        close(fd);
        if (reserved_count == MAX_PORTS) {
            finish(FLEET_CANNOT_RUN);
        }
    }
}

static void
release_ports(void)
{
    while (reserved_count > 0) {
        close(reserved_fds[--reserved_count]);
    }
}

static pid_t
start(const char *log, char *const *arguments)
{
    char path[128];
    pid_t pid;

    snprintf(path, sizeof(path), "%s/%s.log", fleet.folder, log);
    pid = fork();
    if (pid == 0) {
        int out = open(path, O_WRONLY | O_CREAT | O_TRUNC, 0600);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        if (chdir(repository) == 0) {
            execv(arguments[0], arguments);
        }
        perror(arguments[0]);
        _exit(127);
    }
    processes[process_count++] = pid;
    return pid;
}

static pid_t
start_standin(const char *program, const char *log, uint16_t port, int number)
{
    char path[320];
    char port_text[8];
    char number_text[8];
    char *arguments[] = {path,      "--ip",     IP,          "--port",
                         port_text, "--number", number_text, NULL};

    snprintf(path, sizeof(path), "%s/%s", standins, program);
    snprintf(port_text, sizeof(port_text), "%u", port);
    snprintf(number_text, sizeof(number_text), "%d", number);
    if (number == 0) {
        arguments[5] = NULL;
    }
    return start(log, arguments);
}

/* The settings as deploy/gateway.ini has them, filled in for a small
   deployment. */
static void
start_gateway(int index, uint16_t metrics, const uint16_t *peers)
{
    char path[128];
    char log[32];
    char program[320];
    char *arguments[] = {program, "--settings", path, NULL};
    FILE *file;

    snprintf(path, sizeof(path), "%s/gateway-%d.ini", fleet.folder, index);
    snprintf(log, sizeof(log), "gateway-%d", index);
    snprintf(program, sizeof(program), "%s/target/dandelionfork-gateway",
             repository);
    file = fopen(path, "w");
    fprintf(file,
            "[gateway]\ninstance = front-split-a-%d\ndata_centre = split-a\n"
            "listen = " IP ":%u\nstatus = " IP ":%u\nmetrics = " IP
            ":%u\npeers = " IP ":%u\nregions = split-a=hr-jug;\nseeds = " IP
            ":%u;\nmemory_mb = 260\ngrace = 8s\ncpu_share = 0.19\n"
            "cpu_cores = 1\nlink_mbps = 1000.0\n\n[bounds]\nrevoke = 5000ms\n"
            "budget_ratio = 0.2\nbudget_window = 10s\nbudget_extra = 100\n\n"
            "[platform]\nstore = " IP ":%u\n\n[log]\noutput = stdout\n",
            index + 1, fleet.gateway_ports[index], fleet.status_ports[index],
            metrics, peers[index], peers[0], fleet.store_port);
    fclose(file);
    fleet.gateway_pids[index] = start(log, arguments);
}

int
dial(uint16_t port)
{
    return dial_with_buffer(port, 0);
}

int
dial_with_buffer(uint16_t port, int receive_buffer_bytes)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    struct timeval timeout = {.tv_sec = 10};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, IP, &address.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (receive_buffer_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                   sizeof(receive_buffer_bytes));
    }
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

void
call(uint16_t port, const char *method, const char *target,
     const char *headers, const char *body, struct answer *answer)
{
    char *request = NULL;
    size_t length = 0;
    char rest[4096];
    ssize_t count;
    int fd = dial(port);

    memset(answer, 0, sizeof(*answer));
    if (fd < 0) {
        return;
    }
    count = asprintf(&request,
                     "%s %s HTTP/1.1\r\nHost: uspon.example\r\n%s"
                     "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                     method, target, headers, strlen(body), body);
    if (send(fd, request, (size_t)count, MSG_NOSIGNAL) == count) {
        while ((count = recv(fd, rest, sizeof(rest), 0)) > 0) {
            size_t room = sizeof(answer->text) - 1 - length;
            size_t taken = (size_t)count < room ? (size_t)count : room;

            memcpy(answer->text + length, rest, taken);
            length += taken;
        }
    }
    free(request);
    close(fd);
    if (sscanf(answer->text, "HTTP/1.1 %d", &answer->status) != 1) {
        answer->status = 0;
    }
}

static bool
put(const char *key, const char *value)
{
    char target[128];
    struct answer answer;

    snprintf(target, sizeof(target), "/control/put?key=%s", key);
    call(fleet.store_port, "PUT", target, "", value, &answer);
    return answer.status == 200;
}

bool
operator_write(const char *key, const char *value)
{
    return put(key, value);
}

static void
beat(int index, unsigned sequence)
{
    char key[32];
    char value[320];

    snprintf(key, sizeof(key), "servers/worker-%d", index + 1);
    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"" IP ":%u\",\"zone\":"
             "\"split-a\",\"version\":1,\"slots\":16,\"state\":\"ready\","
             "\"cold_remaining_ms\":0,\"sequence\":%u,\"born\":%d}",
             fleet.worker_services[index] != NULL
                 ? fleet.worker_services[index]
                 : "raspored",
             fleet.worker_ports[index], sequence, 1000000 + index);
    put(key, value);
}

static void *
run_beats(void *data)
{
    unsigned sequence = 1;

    (void)data;
    for (;;) {
        uint64_t begun_ms = clock_ms();
        uint64_t elapsed_ms;

        sequence++;
        for (int i = 0; i < fleet.workers; i++) {
            beat(i, sequence);
            sleep_ms(BEAT_MS / 2 / (uint64_t)fleet.workers);
        }
        elapsed_ms = clock_ms() - begun_ms;
        sleep_ms(elapsed_ms < BEAT_MS ? BEAT_MS - elapsed_ms : 0);
    }
    return NULL;
}

static bool
wait_ready(uint16_t port, const char *path)
{
    uint64_t until_ms = now_ms() + READY_MS;
    struct answer answer;

    do {
        call(port, "GET", path, "", "", &answer);
        if (answer.status == 200) {
            return true;
        }
        sleep_ms(100);
    } while (now_ms() < until_ms);
    return false;
}

static void
start_workers(void)
{
    char log[32];

    for (int i = 0; i < fleet.workers; i++) {
        snprintf(log, sizeof(log), "worker-%d", i);
        start_standin("fake_worker", log, fleet.worker_ports[i], i + 1);
    }
    for (int i = 0; i < fleet.workers; i++) {
        if (!wait_ready(fleet.worker_ports[i], "/control/stats")) {
            record("a worker does not start");
            finish(FLEET_CANNOT_RUN);
        }
        beat(i, 1);
    }
}

void
fleet_start(int argc, char **argv, int gateways, int workers,
            const char *config)
{
    uint16_t metrics[FLEET_MAX_GATEWAYS];
    uint16_t peers[FLEET_MAX_GATEWAYS];
    pthread_t thread;

    start_ms = clock_ms();
    srandom((unsigned)getpid() * 2654435761u + (unsigned)time(NULL));
    if (argc != 4 || (record_file = fopen(argv[3], "w")) == NULL) {
        fprintf(stderr, "usage: %s REPOSITORY STANDINS RECORD\n", argv[0]);
        exit(FLEET_CANNOT_RUN);
    }
    snprintf(repository, sizeof(repository), "%s", argv[1]);
    snprintf(standins, sizeof(standins), "%s", argv[2]);
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, on_alarm);
    alarm(MAX_RUN_S);
    strcpy(fleet.folder, "/tmp/review-XXXXXX");
    if (mkdtemp(fleet.folder) == NULL) {
        perror("mkdtemp");
        exit(FLEET_CANNOT_RUN);
    }
    fleet.gateways = gateways;
    fleet.workers = workers;
    fleet.store_port = free_port();
    for (int i = 0; i < workers; i++) {
        fleet.worker_ports[i] = free_port();
    }
    for (int i = 0; i < gateways; i++) {
        fleet.gateway_ports[i] = free_port();
        fleet.status_ports[i] = free_port();
        metrics[i] = free_port();
        peers[i] = free_port();
    }
    release_ports();
    record("trouble %d, %d gateways, %d workers", trouble(), gateways,
           workers);
    start_standin("store", "store", fleet.store_port, 0);
    if (!wait_ready(fleet.store_port, "/control/state") ||
        !operator_write("op/config", config)) {
        record("the store does not start");
        finish(FLEET_CANNOT_RUN);
    }
    start_workers();
    pthread_create(&thread, NULL, run_beats, NULL);
    for (int i = 0; i < gateways; i++) {
        start_gateway(i, metrics[i], peers);
    }
    for (int i = 0; i < gateways; i++) {
        if (!wait_ready(fleet.status_ports[i], "/dandelionfork/ready")) {
            record("gateway %d is not ready", i);
            finish(FLEET_CANNOT_RUN);
        }
    }
    record("all gateways are ready");
}

/* Counts the lines of a worker's output that begin with the word and have the
   id; last: the word that ends the line, or NULL. */
static int
count_lines(int worker, const char *word, const char *id, const char *last)
{
    char path[128];
    char line[512];
    int found = 0;
    FILE *file;

    snprintf(path, sizeof(path), "%s/worker-%d.log", fleet.folder, worker);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        char first[32];
        char line_id[64];
        char rest[64];

        if (sscanf(line, "%31s %*s %63s %63s", first, line_id, rest) == 3 &&
            strcmp(first, word) == 0 && strcmp(line_id, id) == 0 &&
            (last == NULL || strcmp(rest, last) == 0)) {
            found++;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return found;
}

int
worker_runs(int worker, const char *attempt_id)
{
    return count_lines(worker, "ran", attempt_id, NULL);
}

int
count_runs(const char *attempt_id)
{
    int runs = 0;

    for (int i = 0; i < fleet.workers; i++) {
        runs += worker_runs(i, attempt_id);
    }
    return runs;
}

bool
stream_was_whole(const char *attempt_id)
{
    for (int i = 0; i < fleet.workers; i++) {
        if (count_lines(i, "ended", attempt_id, "whole") > 0) {
            return true;
        }
    }
    return false;
}

void
record_runs(void)
{
    for (int i = 0; i < fleet.workers; i++) {
        char path[128];
        char line[512];
        FILE *file;

        snprintf(path, sizeof(path), "%s/worker-%d.log", fleet.folder, i);
        file = fopen(path, "r");
        while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
            line[strcspn(line, "\n")] = '\0';
            record("worker %d, time of its own clock, account, key: %s", i + 1,
                   line);
        }
        if (file != NULL) {
            fclose(file);
        }
    }
}
