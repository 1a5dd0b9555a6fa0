#include "tests/soak/soak_faults.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "tests/fakes/fake_server.h"
#include "tests/soak/soak_book.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_operator.h"
#include "tests/soak/soak_proxy.h"
#include "tests/soak/soak_trouble.h"

enum {
    MIN_GAP_MS = 80,
    MAX_GAP_MS = 500,
    MIN_FAULT_MS = 100,
    MAX_FAULT_MS = 3500,
    /* Longer than removed keys may be used, and than a member's lease. */
    MAX_OUTAGE_MS = 12000,
    /* Storms of faults, and calm between them that is longer than what the
       promises with a time bound need undisturbed. */
    MIN_STORM_MS = 3000,
    MAX_STORM_MS = 15000,
    CALM_MS = 9000,
    MIN_DELAY_MS = 20,
    MAX_DELAY_MS = 300,
    /* Of the gateways' settings, and how much later an end is too late. */
    GRACE_MS = 8000,
    GRACE_SLACK_MS = 1000,
};

enum fault_kind {
    FAULT_PAUSE_GATEWAY,
    FAULT_KILL_GATEWAY,
    FAULT_TERM_GATEWAY,
    FAULT_HUP_GATEWAY,
    FAULT_CALLERS_WAY,
    FAULT_STORE_WAY,
    FAULT_WORKER_WAY,
    FAULT_PAUSE_WORKER,
    FAULT_KILL_WORKER,
    FAULT_WORKER_FULL,
    FAULT_WORKER_FAILS,
    FAULT_WORKER_CUTS,
    FAULT_WORKER_SILENT,
    FAULT_STORE_DOWN,
    FAULT_STORE_REFUSES,
    FAULT_STORE_PAUSE,
    FAULT_STORE_COMPACT,
    FAULT_STORE_EXPIRE,
    FAULT_CONFIGURE,
    FAULT_CHANGE_KEY,
    FAULT_WORKER_LEAVES,
    FAULT_KIND_COUNT,
};

struct fault {
    enum fault_kind kind;
    uint32_t index;
    uint64_t begun_ms;
    uint64_t ends_ms;
    uint32_t life; /* of the process, when it was told to end */
    uint32_t trouble;
    bool has_trouble;
};

struct soak_faults {
    struct soak_fleet *fleet;
    GRand *random;
    GPtrArray *active; /* struct fault */
    uint64_t next_ms;
    uint64_t phase_ends_ms;
    bool is_calm;
    uint32_t count;
};

struct kind_info {
    const char *name;
    uint32_t places; /* how many indexes */
    bool is_trouble;
    enum soak_place place;
    const char *on; /* switches of the stand-in */
    const char *off;
};

static const struct kind_info kinds[FAULT_KIND_COUNT] = {
    [FAULT_PAUSE_GATEWAY] = {"pause-gateway", SOAK_GATEWAYS, true,
                             SOAK_GATEWAY, NULL, NULL},
    [FAULT_KILL_GATEWAY] = {"kill-gateway", SOAK_GATEWAYS, true, SOAK_GATEWAY,
                            NULL, NULL},
    [FAULT_TERM_GATEWAY] = {"term-gateway", SOAK_GATEWAYS, true, SOAK_PLANNED,
                            NULL, NULL},
    [FAULT_HUP_GATEWAY] = {"hup-gateway", SOAK_GATEWAYS, false, 0, NULL, NULL},
    [FAULT_CALLERS_WAY] = {"callers-way", SOAK_GATEWAYS, true, SOAK_GATEWAY,
                           NULL, NULL},
    [FAULT_STORE_WAY] = {"store-way", SOAK_GATEWAYS, true, SOAK_STORE_WAY,
                         NULL, NULL},
    [FAULT_WORKER_WAY] = {"worker-way", SOAK_WORKERS, true, SOAK_WORKER, NULL,
                          NULL},
    [FAULT_PAUSE_WORKER] = {"pause-worker", SOAK_WORKERS, true, SOAK_WORKER,
                            NULL, NULL},
    [FAULT_KILL_WORKER] = {"kill-worker", SOAK_WORKERS, true, SOAK_WORKER,
                           NULL, NULL},
    [FAULT_WORKER_FULL] = {"worker-full", SOAK_WORKERS, true, SOAK_WORKER,
                           "full?on=1", "full?on=0"},
    [FAULT_WORKER_FAILS] = {"worker-fails", SOAK_WORKERS, true, SOAK_WORKER,
                            "fail?on=1", "fail?on=0"},
    [FAULT_WORKER_CUTS] = {"worker-cuts", SOAK_WORKERS, true, SOAK_WORKER,
                           "cut?after=4", "cut?after=0"},
    [FAULT_WORKER_SILENT] = {"worker-silent", SOAK_WORKERS, true, SOAK_WORKER,
                             "silent?on=1", "silent?on=0"},
    [FAULT_STORE_DOWN] = {"store-down", 1, true, SOAK_STORE, "down?on=1",
                          "down?on=0"},
    [FAULT_STORE_REFUSES] = {"store-refuses", 1, true, SOAK_STORE,
                             "refuse?on=1", "refuse?on=0"},
    [FAULT_STORE_PAUSE] = {"store-pause", 1, true, SOAK_STORE, NULL, NULL},
    [FAULT_STORE_COMPACT] = {"store-compact", 1, true, SOAK_STORE, "compact",
                             NULL},
    [FAULT_STORE_EXPIRE] = {"store-expire", 1, true, SOAK_STORE, "expire",
                            NULL},
    [FAULT_CONFIGURE] = {"configure", 1, false, 0, NULL, NULL},
    [FAULT_CHANGE_KEY] = {"change-key", 1, false, 0, NULL, NULL},
    [FAULT_WORKER_LEAVES] = {"worker-leaves", SOAK_WORKERS, false, 0, NULL,
                             NULL},
};

struct soak_faults *
soak_faults_create(struct soak_fleet *fleet, uint64_t seed)
{
    struct soak_faults *faults = g_new0(struct soak_faults, 1);

    faults->fleet = fleet;
    faults->random = g_rand_new_with_seed((guint32)seed);
    faults->active = g_ptr_array_new_with_free_func(g_free);
    return faults;
}

uint32_t
soak_faults_count(const struct soak_faults *faults)
{
    return faults->count;
}

static uint32_t
draw(struct soak_faults *faults, uint32_t from, uint32_t to)
{
    return (uint32_t)g_rand_int_range(faults->random, (gint32)from,
                                      (gint32)to);
}

static bool
is_active(const struct soak_faults *faults, enum fault_kind kind,
          uint32_t index)
{
    for (guint i = 0; i < faults->active->len; i++) {
        const struct fault *fault = g_ptr_array_index(faults->active, i);

        if (fault->kind == kind && fault->index == index) {
            return true;
        }
    }
    return false;
}

/* The operators' writes wait for the store, and so would its own way back. */
static bool
needs_store(enum fault_kind kind)
{
    return kind == FAULT_CONFIGURE || kind == FAULT_CHANGE_KEY ||
           kind == FAULT_WORKER_LEAVES;
}

/* What operators do also in calm times, and outages that last. */
static bool
is_planned(enum fault_kind kind)
{
    return needs_store(kind) || kind == FAULT_TERM_GATEWAY ||
           kind == FAULT_HUP_GATEWAY;
}

static uint64_t
longest_ms(enum fault_kind kind)
{
    return kind == FAULT_PAUSE_GATEWAY || kind == FAULT_STORE_WAY ||
                   kind == FAULT_STORE_DOWN || kind == FAULT_STORE_REFUSES ||
                   kind == FAULT_WORKER_LEAVES
               ? MAX_OUTAGE_MS
               : MAX_FAULT_MS;
}

/* One worker leaves at a time, so that there is somebody to serve. */
static bool
is_impossible(const struct soak_faults *faults, enum fault_kind kind)
{
    if (needs_store(kind) && is_active(faults, FAULT_STORE_PAUSE, 0)) {
        return true;
    }
    for (uint32_t i = 0; kind == FAULT_WORKER_LEAVES && i < SOAK_WORKERS;
         i++) {
        if (is_active(faults, kind, i)) {
            return true;
        }
    }
    return false;
}

static struct soak_proxy *
proxy_of(const struct soak_faults *faults, const struct fault *fault)
{
    switch (fault->kind) {
    case FAULT_CALLERS_WAY:
        return faults->fleet->callers_way[fault->index];
    case FAULT_STORE_WAY:
        return faults->fleet->store_way[fault->index];
    case FAULT_WORKER_WAY:
        return faults->fleet->worker_way[fault->index];
    default:
        return NULL;
    }
}

static void
disturb_way(struct soak_faults *faults, struct soak_proxy *proxy)
{
    static const enum soak_way ways[] = {SOAK_PASS,    SOAK_DELAY,
                                         SOAK_HOLD_TO, SOAK_HOLD_FROM,
                                         SOAK_SILENT,  SOAK_REFUSE};
    enum soak_way way = ways[draw(faults, 0, G_N_ELEMENTS(ways))];

    soak_proxy_set(proxy, way, draw(faults, MIN_DELAY_MS, MAX_DELAY_MS));
    if (way == SOAK_PASS || way == SOAK_REFUSE) {
        soak_proxy_reset(proxy);
    }
}

static struct soak_process *
process_of(const struct soak_faults *faults, const struct fault *fault)
{
    switch (fault->kind) {
    case FAULT_PAUSE_GATEWAY:
    case FAULT_KILL_GATEWAY:
    case FAULT_TERM_GATEWAY:
    case FAULT_HUP_GATEWAY:
        return faults->fleet->gateways[fault->index];
    case FAULT_PAUSE_WORKER:
    case FAULT_KILL_WORKER:
        return faults->fleet->workers[fault->index];
    case FAULT_STORE_PAUSE:
        return faults->fleet->store;
    default:
        return NULL;
    }
}

static void
begin_signal(const struct soak_faults *faults, struct fault *fault)
{
    struct soak_process *process = process_of(faults, fault);

    if (process != NULL) {
        fault->life = soak_process_life(process);
    }
    switch (fault->kind) {
    case FAULT_PAUSE_GATEWAY:
    case FAULT_PAUSE_WORKER:
    case FAULT_STORE_PAUSE:
        soak_process_signal(process, SIGSTOP);
        break;
    case FAULT_KILL_GATEWAY:
    case FAULT_KILL_WORKER:
        soak_process_signal(process, SIGKILL);
        break;
    case FAULT_TERM_GATEWAY:
        soak_process_signal(process, SIGTERM);
        break;
    case FAULT_HUP_GATEWAY:
        if (soak_process_has_started(process)) {
            soak_process_signal(process, SIGHUP);
        }
        break;
    default:
        break;
    }
}

static void
use_switch(const struct fault *fault, const char *what)
{
    if (what == NULL) {
        return;
    }
    /* A suspended stand-in doesn't hear of it; the end resets all of them. */
    if (kinds[fault->kind].place == SOAK_STORE) {
        soak_operator_switch_store(what);
    }
    else {
        soak_operator_switch_worker(fault->index, what);
    }
}

static void
begin(struct soak_faults *faults, struct fault *fault)
{
    struct soak_proxy *proxy = proxy_of(faults, fault);

    if (kinds[fault->kind].is_trouble) {
        fault->trouble = soak_trouble_begin(kinds[fault->kind].place,
                                            fault->index, fault->begun_ms);
        fault->has_trouble = true;
    }
    if (proxy != NULL) {
        disturb_way(faults, proxy);
    }
    begin_signal(faults, fault);
    use_switch(fault, kinds[fault->kind].on);
    if (fault->kind == FAULT_CONFIGURE) {
        soak_operator_configure();
    }
    else if (fault->kind == FAULT_CHANGE_KEY) {
        soak_operator_change_key();
    }
    else if (fault->kind == FAULT_WORKER_LEAVES) {
        /* Some say so before they are gone. */
        soak_operator_register(fault->index,
                               draw(faults, 0, 2) == 0 ? "draining" : NULL);
    }
    faults->count++;
    printf("# %lu %s %u for %lu ms\n", (unsigned long)fault->begun_ms,
           kinds[fault->kind].name, fault->index + 1,
           (unsigned long)(fault->ends_ms - fault->begun_ms));
}

static void
end(struct soak_faults *faults, struct fault *fault, uint64_t now_ms)
{
    struct soak_proxy *proxy = proxy_of(faults, fault);

    if (proxy != NULL) {
        soak_proxy_set(proxy, SOAK_PASS, 0);
    }
    switch (fault->kind) {
    case FAULT_PAUSE_GATEWAY:
    case FAULT_PAUSE_WORKER:
    case FAULT_STORE_PAUSE:
        soak_process_signal(process_of(faults, fault), SIGCONT);
        break;
    case FAULT_KILL_GATEWAY:
    case FAULT_KILL_WORKER:
    case FAULT_TERM_GATEWAY:
        soak_process_start(process_of(faults, fault));
        break;
    case FAULT_WORKER_LEAVES:
        soak_operator_register(fault->index, "ready");
        break;
    default:
        use_switch(fault, kinds[fault->kind].off);
        break;
    }
    if (fault->has_trouble) {
        soak_trouble_end(fault->trouble, now_ms);
    }
}

/* The process that the fault has told to end; another fault may have ended and
   started it since. */
static bool
runs_on(const struct soak_faults *faults, const struct fault *fault)
{
    const struct soak_process *process = process_of(faults, fault);

    return soak_process_is_running(process) &&
           soak_process_life(process) == fault->life;
}

/* A process that was told to end has to, before it is started again. */
static bool
may_end(const struct soak_faults *faults, const struct fault *fault,
        uint64_t now_ms)
{
    if (now_ms < fault->ends_ms || (needs_store(fault->kind) &&
                                    is_active(faults, FAULT_STORE_PAUSE, 0))) {
        return false;
    }
    return (fault->kind != FAULT_TERM_GATEWAY &&
            fault->kind != FAULT_KILL_GATEWAY &&
            fault->kind != FAULT_KILL_WORKER) ||
           !runs_on(faults, fault);
}

static void
check_grace(const struct soak_faults *faults, struct fault *fault,
            uint64_t now_ms)
{
    uint64_t late_ms = fault->begun_ms + GRACE_MS + GRACE_SLACK_MS +
                       soak_lag_ms(fault->begun_ms, now_ms);

    if (fault->kind != FAULT_TERM_GATEWAY || now_ms <= late_ms ||
        !runs_on(faults, fault)) {
        return;
    }
    if (soak_trouble_free(SOAK_GATEWAY, fault->index, fault->begun_ms,
                          now_ms)) {
        soak_book_fail("grace", "gateway-%u still runs", fault->index + 1);
    }
    soak_process_signal(process_of(faults, fault), SIGKILL);
}

static void
begin_some(struct soak_faults *faults, uint64_t now_ms)
{
    enum fault_kind kind = (enum fault_kind)draw(faults, 0, FAULT_KIND_COUNT);
    uint32_t index = draw(faults, 0, kinds[kind].places);
    struct fault *fault;

    faults->next_ms = now_ms + draw(faults, MIN_GAP_MS, MAX_GAP_MS);
    if (is_active(faults, kind, index) || is_impossible(faults, kind) ||
        (faults->is_calm && !is_planned(kind))) {
        return;
    }
    fault = g_new0(struct fault, 1);
    fault->kind = kind;
    fault->index = index;
    fault->begun_ms = now_ms;
    fault->ends_ms =
        now_ms + draw(faults, MIN_FAULT_MS, (uint32_t)longest_ms(kind));
    begin(faults, fault);
    g_ptr_array_add(faults->active, fault);
}

void
soak_faults_restart(struct soak_faults *faults, uint64_t now_ms)
{
    for (guint i = faults->active->len; i > 0; i--) {
        struct fault *fault = g_ptr_array_index(faults->active, i - 1);

        check_grace(faults, fault, now_ms);
        if (may_end(faults, fault, now_ms)) {
            end(faults, fault, now_ms);
            g_ptr_array_remove_index_fast(faults->active, i - 1);
        }
    }
}

static void
reset_stand_ins(void)
{
    static const char *const worker_switches[] = {
        "full?on=0", "fail?on=0", "cut?after=0", "silent?on=0"};

    soak_operator_switch_store("down?on=0");
    soak_operator_switch_store("refuse?on=0");
    for (uint32_t i = 0; i < SOAK_WORKERS; i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(worker_switches); j++) {
            soak_operator_switch_worker(i, worker_switches[j]);
        }
    }
}

static void
end_all(struct soak_faults *faults, uint64_t now_ms)
{
    for (guint i = 0; i < faults->active->len; i++) {
        struct fault *fault = g_ptr_array_index(faults->active, i);

        fault->ends_ms = now_ms;
    }
    soak_faults_restart(faults, now_ms);
    reset_stand_ins();
}

static void
change_phase(struct soak_faults *faults, uint64_t now_ms)
{
    faults->is_calm = faults->phase_ends_ms != 0 && !faults->is_calm;
    faults->phase_ends_ms =
        now_ms +
        (faults->is_calm ? CALM_MS : draw(faults, MIN_STORM_MS, MAX_STORM_MS));
    if (faults->is_calm) {
        end_all(faults, now_ms);
    }
    printf("# %lu %s\n", (unsigned long)now_ms,
           faults->is_calm ? "calm" : "storm");
}

void
soak_faults_tick(struct soak_faults *faults, uint64_t now_ms)
{
    if (now_ms >= faults->phase_ends_ms) {
        change_phase(faults, now_ms);
    }
    soak_faults_restart(faults, now_ms);
    if (now_ms >= faults->next_ms) {
        begin_some(faults, now_ms);
    }
}

void
soak_faults_end(struct soak_faults *faults, uint64_t now_ms)
{
    end_all(faults, now_ms);
}
