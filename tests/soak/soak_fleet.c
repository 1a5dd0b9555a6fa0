#include "tests/soak/soak_fleet.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/soak/soak_proxy.h"

extern char **environ;

enum {
    LINE_BYTES = 512,
};

struct soak_process {
    char *name;
    char **arguments;
    char *log_path;
    pid_t pid; /* 0: not running */
    bool end_expected;
    bool may_crash; /* and then exits with status 1 */
    _Atomic uint32_t incarnation;
    long read_offset;  /* the log was read up to here */
    long start_offset; /* the current incarnation logs from here */
};

static struct soak_process *
create_process(const struct soak_fleet *fleet, const char *name,
               char **arguments)
{
    struct soak_process *process = g_new0(struct soak_process, 1);

    process->name = g_strdup(name);
    process->arguments = arguments;
    process->log_path =
        g_strdup_printf("%s/%s.log", fleet->settings.work_dir, name);
    return process;
}

static long
log_bytes(const struct soak_process *process)
{
    struct stat status;

    return stat(process->log_path, &status) == 0 ? (long)status.st_size : 0;
}

void
soak_process_start(struct soak_process *process)
{
    posix_spawn_file_actions_t actions;
    posix_spawnattr_t attributes;
    sigset_t no_signals;
    int error;

    if (process->pid != 0) {
        return;
    }
    process->end_expected = false;
    process->incarnation++;
    process->start_offset = log_bytes(process);
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     process->log_path,
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    /* The children don't inherit this process's signal mask. */
    sigemptyset(&no_signals);
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setsigmask(&attributes, &no_signals);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    error = posix_spawn(&process->pid, process->arguments[0], &actions,
                        &attributes, process->arguments, environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        fprintf(stderr, "can't start %s: %s\n", process->arguments[0],
                g_strerror(error));
        exit(EXIT_FAILURE);
    }
}

void
soak_process_signal(struct soak_process *process, int signal_number)
{
    if (process->pid == 0) {
        return;
    }
    if (signal_number == SIGTERM || signal_number == SIGKILL) {
        process->end_expected = true;
    }
    kill(process->pid, signal_number);
}

void
soak_process_may_crash(struct soak_process *process, bool may_crash)
{
    process->may_crash = may_crash;
}

bool
soak_process_is_running(const struct soak_process *process)
{
    return process->pid != 0;
}

bool
soak_process_has_started(const struct soak_process *process)
{
    FILE *file = fopen(process->log_path, "r");
    char line[LINE_BYTES];
    bool started = false;

    if (file == NULL) {
        return false;
    }
    fseek(file, process->start_offset, SEEK_SET);
    while (!started && fgets(line, sizeof(line), file) != NULL) {
        started = strstr(line, "gateway: started ") != NULL;
    }
    fclose(file);
    return started;
}

uint32_t
soak_process_incarnation(const struct soak_process *process)
{
    return process->incarnation;
}

static void
reap(struct soak_process *process)
{
    int status;

    if (process->pid == 0 || waitpid(process->pid, &status, WNOHANG) <= 0) {
        return;
    }
    process->pid = 0;
    if (process->may_crash && WIFEXITED(status) &&
        WEXITSTATUS(status) == EXIT_FAILURE) {
        return;
    }
    if (!process->end_expected) {
        soak_checker_fail(
            "alive", "%s ended without being told to, %s %d", process->name,
            WIFSIGNALED(status) ? "signal" : "status",
            WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    }
    else if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL &&
             WTERMSIG(status) != SIGTERM) {
        soak_checker_fail("alive",
                          "%s was told to end, but crashed with signal %d",
                          process->name, WTERMSIG(status));
    }
    else if (WIFEXITED(status) && WEXITSTATUS(status) != 0) {
        soak_checker_fail("alive",
                          "%s was told to end, but exited with status %d",
                          process->name, WEXITSTATUS(status));
    }
}

void
soak_fleet_reap(struct soak_fleet *fleet)
{
    reap(fleet->store);
    for (size_t i = 0; i < SOAK_WORKERS; i++) {
        reap(fleet->workers[i]);
    }
    for (size_t i = 0; i < SOAK_GATEWAYS; i++) {
        reap(fleet->gateways[i]);
    }
}

void
soak_fleet_read_workers(struct soak_fleet *fleet)
{
    for (uint32_t i = 0; i < SOAK_WORKERS; i++) {
        struct soak_process *worker = fleet->workers[i];
        FILE *file = fopen(worker->log_path, "r");
        char line[LINE_BYTES];

        if (file == NULL) {
            continue;
        }
        fseek(file, worker->read_offset, SEEK_SET);
        while (fgets(line, sizeof(line), file) != NULL &&
               strchr(line, '\n') != NULL) {
            worker->read_offset = ftell(file);
            g_strchomp(line);
            soak_checker_worker_line(i, line);
        }
        fclose(file);
    }
}

static char **
fake_command(const struct soak_fleet *fleet, const char *program,
             uint32_t port, uint32_t number)
{
    char *command = g_strdup_printf(
        "%s/tests/%s --ip %s --port %u%s", fleet->settings.bin_dir, program,
        fleet->settings.ip, port, number != 0 ? " --number" : "");
    char **arguments;

    if (number != 0) {
        char *with_number = g_strdup_printf("%s %u", command, number);

        g_free(command);
        command = with_number;
    }
    arguments = g_strsplit(command, " ", -1);
    g_free(command);
    return arguments;
}

static void
write_settings(const struct soak_fleet *fleet, const char *path, uint32_t n)
{
    const char *ip = fleet->settings.ip;
    char *text = g_strdup_printf(
        "[gateway]\ninstance = gateway-%u\ndata_centre = here\n"
        "listen = %s:%u\nstatus = %s:%u\nmetrics = %s:%u\npeers = %s:%u\n"
        "seeds = %s:%u; %s:%u\nclose = 2s\ngrace = 8s\n\n"
        "[bounds]\nrevoke = %dms\nevacuate = %dms\nconfig_apply = %dms\n"
        "cold_overage = %d.%02d\ncold_slack = %d\n\n[platform]\n"
        "store = %s:%u\n\n"
        "[log]\noutput = stdout\n",
        n + 1, ip, SOAK_GATEWAY_PORT + n, ip, SOAK_STATUS_PORT + n, ip,
        SOAK_METRICS_PORT + n, ip, SOAK_PEER_PORT + n, ip, SOAK_PEER_PORT, ip,
        SOAK_PEER_PORT + 1, SOAK_REVOKE_MS, SOAK_EVACUATE_MS, SOAK_APPLY_MS,
        SOAK_COLD_OVERAGE_PERCENT / 100, SOAK_COLD_OVERAGE_PERCENT % 100,
        SOAK_COLD_SLACK, ip, SOAK_STORE_PROXY_PORT + n);

    if (!g_file_set_contents(path, text, -1, NULL)) {
        fprintf(stderr, "can't write %s\n", path);
        exit(EXIT_FAILURE);
    }
    g_free(text);
}

static struct soak_process *
create_gateway(const struct soak_fleet *fleet, uint32_t n)
{
    char *name = g_strdup_printf("gateway-%u", n + 1);
    char **arguments = g_new0(char *, 6);
    struct soak_process *process;

    arguments[0] = g_strdup("/bin/sh");
    arguments[1] = g_strdup("-c");
    arguments[2] =
        g_strdup_printf("ulimit -n %d && exec \"$0\" --settings \"$1\"",
                        SOAK_GATEWAY_DESCRIPTORS);
    arguments[3] =
        g_strdup_printf("%s/dandelionfork-gateway", fleet->settings.bin_dir);
    arguments[4] =
        g_strdup_printf("%s/%s.ini", fleet->settings.work_dir, name);
    write_settings(fleet, arguments[4], n);
    process = create_process(fleet, name, arguments);
    g_free(name);
    return process;
}

static void
create_proxies(struct soak_fleet *fleet)
{
    struct soak_proxies *proxies = soak_proxies_create();
    const char *ip = fleet->settings.ip;

    for (uint32_t i = 0; i < SOAK_GATEWAYS; i++) {
        fleet->callers_proxy[i] = soak_proxy_add(
            proxies, ip, (uint16_t)(SOAK_CALLERS_PROXY_PORT + i),
            (uint16_t)(SOAK_GATEWAY_PORT + i));
        fleet->store_proxy[i] =
            soak_proxy_add(proxies, ip, (uint16_t)(SOAK_STORE_PROXY_PORT + i),
                           (uint16_t)(SOAK_STORE_PORT));
    }
    for (uint32_t i = 0; i < SOAK_WORKERS; i++) {
        fleet->worker_proxy[i] =
            soak_proxy_add(proxies, ip, (uint16_t)(SOAK_WORKER_PROXY_PORT + i),
                           (uint16_t)(SOAK_WORKER_PORT + i));
    }
    soak_proxies_start(proxies);
}

void
soak_fleet_create(struct soak_fleet *fleet,
                  const struct soak_fleet_settings *settings)
{
    fleet->settings = *settings;
    create_proxies(fleet);
    fleet->store = create_process(
        fleet, "store",
        fake_command(fleet, "fake_users_store", SOAK_STORE_PORT, 0));
    soak_process_start(fleet->store);
    for (uint32_t i = 0; i < SOAK_WORKERS; i++) {
        char *name = g_strdup_printf("worker-%u", i + 1);

        fleet->workers[i] = create_process(
            fleet, name,
            fake_command(fleet, "fake_worker", SOAK_WORKER_PORT + i, i + 1));
        soak_process_start(fleet->workers[i]);
        g_free(name);
    }
    for (uint32_t i = 0; i < SOAK_GATEWAYS; i++) {
        fleet->gateways[i] = create_gateway(fleet, i);
    }
}

static void
end_process(struct soak_process *process)
{
    if (process == NULL || process->pid == 0) {
        return;
    }
    kill(process->pid, SIGKILL);
    while (waitpid(process->pid, NULL, 0) < 0 && errno == EINTR) {
    }
    process->pid = 0;
}

void
soak_fleet_destroy(struct soak_fleet *fleet)
{
    for (size_t i = 0; i < SOAK_GATEWAYS; i++) {
        end_process(fleet->gateways[i]);
    }
    for (size_t i = 0; i < SOAK_WORKERS; i++) {
        end_process(fleet->workers[i]);
    }
    end_process(fleet->store);
}
