#include "tests/soak/soak_faults.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "tests/fakes/fake_server.h"
#include "tests/soak/soak_callers.h"
#include "tests/soak/soak_checker.h"
#include "tests/soak/soak_drill.h"
#include "tests/soak/soak_fault_kinds.h"
#include "tests/soak/soak_fault_targets.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_odd_entries.h"
#include "tests/soak/soak_operator.h"
#include "tests/soak/soak_proxy.h"
#include "tests/soak/soak_restarts.h"
#include "tests/soak/soak_disturbance.h"

enum {
    MIN_INTERVAL_MS = 80,
    MAX_INTERVAL_MS = 400,
    MIN_FAULT_MS = 100,
    /* A request that crashes workers, over a calm phase. */
    CRASHING_MS = 12000,
    /* Phases of faults alternate with calm phases, which are longer than the
       undisturbed time that the guarantees with a time bound need. */
    MIN_STORM_MS = 3000,
    MAX_STORM_MS = 15000,
    /* The grace of the gateways' settings. A gateway that exits later than
       GRACE_SLACK_MS after it breaks a guarantee. */
    GRACE_MS = 8000,
    GRACE_SLACK_MS = 1000,
    /* Between the versions of a rapid series. */
    MIN_VERSION_MS = 60,
    MAX_VERSION_MS = 330,
    MIN_COLD_MS = 4000,
    MAX_COLD_MS = 9000,
    /* Watches without changes: several of each gateway end meanwhile, later
       than the changes. */
    MIN_QUIET_MS = 1300,
    MAX_QUIET_MS = 2300,
    MAX_QUIET_CHANGES_MS = 400,
    LONG_DRAIN_MS = 12000,
    /* A gateway that is suspended or cut off from the store during a drill. */
    MAX_BESIDE_DRILL_MS = 3500,
    MIN_AGE_MS = 1000,
    AGE_AFTER_CHANGE_MS = 3500, /* a copy that lacks a change before a drill */
};

struct fault {
    enum fault_kind kind;
    uint32_t index;
    uint64_t begun_ms;
    uint64_t ends_ms;
    uint64_t next_version_ms;
    uint32_t version_ms;  /* duration between the versions of a series */
    uint32_t incarnation; /* of the process when the fault began */
    uint32_t disturbance_number;
    bool has_disturbance;
    bool goes_on; /* whatever ends_ms, as a drill that has not ended */
};

struct soak_faults {
    struct soak_restarts *restarts;
    struct soak_fleet *fleet;
    /* What is drawn from the schedule and the phases depends on the seed
       alone, so that the same seed gives the same schedule again. */
    GRand *schedule;
    GRand *phases;
    GRand *details;    /* seeded by the schedule for each step */
    GPtrArray *active; /* struct fault */
    uint64_t next_ms;
    uint64_t phase_ends_ms;
    bool is_calm;
    bool config_rests; /* no version until the end of the calm phase */
    enum fault_kind calm_kind;
    uint64_t calm_change_ms; /* UINT64_MAX: none is due */
    uint64_t calm_fault_ms;  /* likewise */
    uint32_t copy_age_ms;    /* of a drill, at least */
    bool is_left_out[FAULT_KIND_COUNT];
    uint32_t steps;
    uint32_t count;
};

static bool
has_flag(enum fault_kind kind, enum soak_fault_flags flag)
{
    return (soak_fault_kinds[kind].flags & flag) != 0;
}

struct soak_faults *
soak_faults_create(struct soak_fleet *fleet, uint64_t seed)
{
    struct soak_faults *faults = g_new0(struct soak_faults, 1);

    faults->fleet = fleet;
    faults->restarts = soak_restarts_create(fleet);
    faults->schedule = g_rand_new_with_seed((guint32)seed);
    faults->phases = g_rand_new_with_seed((guint32)seed + 1);
    faults->details = g_rand_new_with_seed(0);
    faults->active = g_ptr_array_new_with_free_func(g_free);
    return faults;
}

static bool
select_kind(struct soak_faults *faults, const char *name)
{
    for (int i = 0; i < FAULT_KIND_COUNT; i++) {
        if (strcmp(soak_fault_kinds[i].name, name) == 0) {
            faults->is_left_out[i] = false;
            return true;
        }
    }
    fprintf(stderr, "unknown behaviour: %s; known are", name);
    for (int i = 0; i < FAULT_KIND_COUNT; i++) {
        fprintf(stderr, " %s", soak_fault_kinds[i].name);
    }
    fprintf(stderr, "\n");
    return false;
}

bool
soak_faults_select(struct soak_faults *faults, const char *names)
{
    char **list = g_strsplit(names, ",", -1);
    bool ok = true;

    for (int i = 0; i < FAULT_KIND_COUNT; i++) {
        faults->is_left_out[i] = true;
    }
    for (char **name = list; ok && *name != NULL; name++) {
        ok = select_kind(faults, *name);
    }
    g_strfreev(list);
    return ok;
}

uint32_t
soak_faults_count(const struct soak_faults *faults)
{
    return faults->count;
}

static uint32_t
draw_number(GRand *random, uint32_t from, uint32_t to)
{
    return (uint32_t)g_rand_int_range(random, (gint32)from, (gint32)to);
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

/* Only one worker is away at a time, so that others can serve. Its
   registration may lapse while it says that it is leaving. */
static bool
is_blocked(const struct soak_faults *faults, enum fault_kind kind,
           uint32_t index)
{
    if (has_flag(kind, SOAK_FAULT_NEEDS_STORE) &&
        is_active(faults, FAULT_STORE_PAUSE, 0)) {
        return true;
    }
    if (has_flag(kind, SOAK_FAULT_CONFIGURES) && faults->config_rests) {
        return true;
    }
    /* A worker is to drain by the change before a drill. */
    if (has_flag(kind, SOAK_FAULT_TAKES_WORKER_AWAY) &&
        (is_active(faults, FAULT_REQUEST_CRASHES, 0) ||
         faults->calm_change_ms != UINT64_MAX)) {
        return true;
    }
    for (uint32_t i = 0; (has_flag(kind, SOAK_FAULT_TAKES_WORKER_AWAY) ||
                          kind == FAULT_REQUEST_CRASHES) &&
                         i < SOAK_WORKERS;
         i++) {
        if (is_active(faults, FAULT_DRAIN_WORKER, i) ||
            is_active(faults, FAULT_REGISTRATION_LAPSES, i) ||
            (is_active(faults, FAULT_WORKER_SAYS_LEAVING, i) &&
             (i != index || kind != FAULT_REGISTRATION_LAPSES))) {
            return true;
        }
    }
    return false;
}

static void
send_command(const struct fault *fault, const char *command)
{
    const char *body = soak_fault_kinds[fault->kind].body;

    if (command == NULL) {
        return;
    }
    /* A suspended fake doesn't get the command. clear_fakes() repeats those
       that end faults. */
    if (soak_fault_kinds[fault->kind].disturbance_kind ==
        SOAK_DISTURBANCE_STORE) {
        soak_operator_control_store(command);
    }
    else {
        soak_operator_control_worker_with(fault->index, command,
                                          body != NULL ? body : "");
    }
}

static uint64_t
draw_cold_ms(struct soak_faults *faults)
{
    return draw_number(faults->details, MIN_COLD_MS, MAX_COLD_MS);
}

/* Workers of a data centre come back cold. Some say so at once; others leave
   it to the gateways, of which all know the evacuation if it has lasted long
   enough. */
static void
end_evacuation(struct soak_faults *faults, const struct fault *fault,
               uint64_t now_ms)
{
    bool is_known =
        now_ms >= fault->begun_ms + SOAK_EVACUATE_MS + SOAK_STRETCH_MS;

    soak_operator_evacuate(fault->index, false);
    for (uint32_t i = fault->index; i < SOAK_WORKERS; i += SOAK_ZONES) {
        if (!is_known || draw_number(faults->details, 0, 2) == 0) {
            soak_restarts_make_cold(faults->restarts, i, draw_cold_ms(faults));
        }
        else {
            soak_operator_make_cold(i, SOAK_COLD_START_MS, false);
        }
    }
}

static void start_fault(struct soak_faults *faults, enum fault_kind kind,
                        uint32_t index, uint64_t now_ms, uint32_t duration_ms);

/* Versions are written and a worker drains while the watches see no changes.
 */
static void
begin_quiet(struct soak_faults *faults, struct fault *fault)
{
    GRand *details = faults->details;
    uint32_t worker = draw_number(details, 0, SOAK_WORKERS);
    uint64_t now_ms = fault->begun_ms;

    fault->ends_ms = now_ms + draw_number(details, MIN_QUIET_MS, MAX_QUIET_MS);
    start_fault(faults, FAULT_VERSIONS, 0, now_ms,
                draw_number(details, 1, MAX_QUIET_CHANGES_MS));
    if (!is_blocked(faults, FAULT_DRAIN_WORKER, worker)) {
        start_fault(faults, FAULT_DRAIN_WORKER, worker, now_ms, LONG_DRAIN_MS);
    }
}

static void
begin_drill(struct soak_faults *faults, struct fault *fault)
{
    static const enum fault_kind beside[] = {FAULT_PAUSE_GATEWAY,
                                             FAULT_STORE_PROXY};
    uint32_t number = draw_number(faults->details, 0, 4);
    uint32_t gateway = draw_number(faults->details, 0, SOAK_GATEWAYS);

    if (number < G_N_ELEMENTS(beside)) {
        start_fault(
            faults, beside[number], gateway, fault->begun_ms,
            draw_number(faults->details, MIN_FAULT_MS, MAX_BESIDE_DRILL_MS));
    }
    fault->goes_on = true;
    soak_drill_begin(g_rand_int(faults->details), faults->copy_age_ms,
                     fault->begun_ms);
}

static void
begin_fault(struct soak_faults *faults, struct fault *fault)
{
    struct soak_proxy *proxy =
        soak_fault_proxy(faults->fleet, fault->kind, fault->index);
    struct soak_process *process;

    if (has_flag(fault->kind, SOAK_FAULT_DISTURBS)) {
        fault->disturbance_number = soak_disturbance_begin(
            soak_fault_kinds[fault->kind].disturbance_kind, fault->index,
            fault->begun_ms);
        fault->has_disturbance = true;
    }
    if (proxy != NULL) {
        soak_fault_disturb_proxy(proxy, faults->details);
    }
    soak_fault_kind_set_active(fault->kind, true);
    process = soak_fault_process(faults->fleet, fault->kind, fault->index);
    if (process != NULL) {
        fault->incarnation = soak_process_incarnation(process);
        soak_fault_signal(process, fault->kind);
    }
    send_command(fault, soak_fault_kinds[fault->kind].on_command);
    if (fault->kind == FAULT_ADD_ROUTE) {
        soak_operator_add_route();
    }
    else if (fault->kind == FAULT_REPLACE_KEY) {
        soak_operator_replace_key();
    }
    else if (fault->kind == FAULT_REQUEST_CRASHES) {
        soak_restarts_begin_crashing(faults->restarts, fault->begun_ms);
    }
    else if (fault->kind == FAULT_REGISTRATION_LAPSES) {
        soak_operator_set_registration(fault->index, NULL);
    }
    else if (fault->kind == FAULT_EVACUATE) {
        soak_operator_evacuate(fault->index, true);
    }
    else if (fault->kind == FAULT_CONFIG_GROWS) {
        soak_operator_grow(true);
    }
    else if (fault->kind == FAULT_VERSIONS) {
        fault->next_version_ms = fault->begun_ms;
        fault->version_ms =
            draw_number(faults->details, MIN_VERSION_MS, MAX_VERSION_MS);
    }
    else if (fault->kind == FAULT_ODD_ENTRIES) {
        fault->index = soak_operator_draining_worker(fault->index);
        soak_odd_entries_write(
            fault->index,
            draw_number(faults->details, 0, soak_odd_entries_count()));
    }
    else if (fault->kind == FAULT_IDLE_CALLERS) {
        soak_callers_open_idle(faults->fleet, fault->index);
    }
    else if (fault->kind == FAULT_STORE_QUIET) {
        begin_quiet(faults, fault);
    }
    else if (fault->kind == FAULT_STORE_DRILL) {
        begin_drill(faults, fault);
    }
    else if (fault->kind == FAULT_WORKER_COLD) {
        soak_restarts_make_cold(faults->restarts, fault->index,
                                draw_cold_ms(faults));
    }
    else if (fault->kind == FAULT_DRAIN_WORKER) {
        /* Some workers announce that they drain; others only remove their
           registration. */
        soak_operator_set_registration(
            fault->index,
            draw_number(faults->details, 0, 2) == 0 ? "draining" : NULL);
    }
    faults->count++;
    printf("# %lu step %u: %s %u for %lu ms\n", (unsigned long)fault->begun_ms,
           faults->steps, soak_fault_kinds[fault->kind].name, fault->index + 1,
           (unsigned long)(fault->ends_ms - fault->begun_ms));
}

static void
end_fault(struct soak_faults *faults, struct fault *fault, uint64_t now_ms)
{
    struct soak_proxy *proxy =
        soak_fault_proxy(faults->fleet, fault->kind, fault->index);

    soak_fault_kind_set_active(fault->kind, false);
    if (proxy != NULL) {
        soak_proxy_set_mode(proxy, SOAK_PROXY_PASS, 0);
    }
    switch (fault->kind) {
    case FAULT_PAUSE_GATEWAY:
    case FAULT_PAUSE_WORKER:
    case FAULT_STORE_PAUSE:
        soak_process_signal(
            soak_fault_process(faults->fleet, fault->kind, fault->index),
            SIGCONT);
        break;
    case FAULT_KILL_WORKER:
        soak_restarts_start(faults->restarts, fault->index);
        break;
    case FAULT_KILL_GATEWAY:
    case FAULT_TERM_GATEWAY:
        soak_process_start(
            soak_fault_process(faults->fleet, fault->kind, fault->index));
        break;
    case FAULT_REQUEST_CRASHES:
        soak_restarts_end_crashing(faults->restarts, now_ms);
        break;
    case FAULT_CONFIG_GROWS:
        soak_operator_grow(false);
        break;
    case FAULT_EVACUATE:
        end_evacuation(faults, fault, now_ms);
        break;
    case FAULT_ODD_ENTRIES:
        soak_odd_entries_remove();
        soak_operator_register_again(fault->index);
        break;
    case FAULT_IDLE_CALLERS:
        soak_callers_close_idle(fault->index);
        break;
    case FAULT_STORE_QUIET:
        /* Watches are cut at times, and the events in between are gone. */
        if (draw_number(faults->details, 0, 2) == 0) {
            send_command(fault, "compact");
        }
        send_command(fault, soak_fault_kinds[fault->kind].off_command);
        break;
    case FAULT_WORKER_SAYS_LEAVING:
        soak_operator_new_instance(fault->index);
        /* fall through */
    case FAULT_DRAIN_WORKER:
    case FAULT_REGISTRATION_LAPSES:
        soak_operator_set_registration(fault->index, "ready");
        break;
    default:
        send_command(fault, soak_fault_kinds[fault->kind].off_command);
        break;
    }
    if (fault->has_disturbance) {
        soak_disturbance_end(fault->disturbance_number, now_ms);
    }
}

/* Whether the process that the fault has told to end still runs. It doesn't if
   another fault has ended and restarted it since. */
static bool
still_runs_since_fault(const struct soak_faults *faults,
                       const struct fault *fault)
{
    const struct soak_process *process =
        soak_fault_process(faults->fleet, fault->kind, fault->index);

    return soak_process_is_running(process) &&
           soak_process_incarnation(process) == fault->incarnation;
}

/* A process that was told to end must have exited before the fault can end,
   which starts it again. */
static bool
can_end(const struct soak_faults *faults, const struct fault *fault,
        uint64_t now_ms)
{
    if (now_ms < fault->ends_ms || fault->goes_on ||
        (has_flag(fault->kind, SOAK_FAULT_NEEDS_STORE) &&
         is_active(faults, FAULT_STORE_PAUSE, 0))) {
        return false;
    }
    /* The next instance must not say that it is leaving, and a suspended fake
       would. */
    if (fault->kind == FAULT_WORKER_SAYS_LEAVING) {
        return !is_active(faults, FAULT_PAUSE_WORKER, fault->index) &&
               soak_operator_control_worker(fault->index, "leaving?on=0");
    }
    return (fault->kind != FAULT_TERM_GATEWAY &&
            fault->kind != FAULT_KILL_GATEWAY &&
            fault->kind != FAULT_KILL_WORKER) ||
           !still_runs_since_fault(faults, fault);
}

static void
check_grace(const struct soak_faults *faults, struct fault *fault,
            uint64_t now_ms)
{
    uint64_t deadline_ms = fault->begun_ms + GRACE_MS + GRACE_SLACK_MS +
                           soak_disturbance_lag_ms(fault->begun_ms, now_ms);

    if (fault->kind != FAULT_TERM_GATEWAY || now_ms <= deadline_ms ||
        !still_runs_since_fault(faults, fault)) {
        return;
    }
    if (soak_disturbance_none_at(SOAK_DISTURBANCE_GATEWAY, fault->index,
                                 fault->begun_ms, now_ms)) {
        soak_checker_fail("grace", "gateway-%u still runs after its grace",
                          fault->index + 1);
    }
    soak_process_signal(
        soak_fault_process(faults->fleet, fault->kind, fault->index), SIGKILL);
}

/* Begins a fault, unless it is in progress. */
static void
start_fault(struct soak_faults *faults, enum fault_kind kind, uint32_t index,
            uint64_t now_ms, uint32_t duration_ms)
{
    struct fault *fault;

    if (is_active(faults, kind, index)) {
        return;
    }
    fault = g_new0(struct fault, 1);
    fault->kind = kind;
    fault->index = index;
    fault->begun_ms = now_ms;
    fault->ends_ms = now_ms + duration_ms;
    if (kind == FAULT_REQUEST_CRASHES) {
        fault->ends_ms = now_ms + CRASHING_MS;
    }
    g_ptr_array_add(faults->active, fault);
    begin_fault(faults, fault);
}

static void
begin_random_fault(struct soak_faults *faults, uint64_t now_ms)
{
    GRand *schedule = faults->schedule;
    enum fault_kind kind =
        (enum fault_kind)draw_number(schedule, 0, FAULT_KIND_COUNT);
    uint32_t index =
        draw_number(schedule, 0, soak_fault_kinds[kind].index_count);
    uint32_t duration_ms =
        draw_number(schedule, MIN_FAULT_MS, soak_fault_kinds[kind].max_ms);

    faults->next_ms += draw_number(schedule, MIN_INTERVAL_MS, MAX_INTERVAL_MS);
    g_rand_set_seed(faults->details, g_rand_int(schedule));
    faults->steps++;
    if (!faults->is_left_out[kind] && !is_blocked(faults, kind, index) &&
        (!faults->is_calm || has_flag(kind, SOAK_FAULT_PLANNED))) {
        start_fault(faults, kind, index, now_ms, duration_ms);
    }
}

void
soak_faults_end_due(struct soak_faults *faults, uint64_t now_ms)
{
    bool store_is_up = !is_active(faults, FAULT_STORE_PAUSE, 0);

    for (uint32_t i = 0; i < SOAK_WORKERS; i++) {
        if (is_active(faults, FAULT_KILL_WORKER, i) ||
            is_active(faults, FAULT_PAUSE_WORKER, i)) {
            soak_restarts_disarm(faults->restarts, i);
        }
        else {
            soak_restarts_tend(faults->restarts, i, store_is_up, now_ms);
        }
    }
    for (guint i = faults->active->len; i > 0; i--) {
        struct fault *fault = g_ptr_array_index(faults->active, i - 1);

        check_grace(faults, fault, now_ms);
        if (fault->kind == FAULT_VERSIONS && store_is_up &&
            now_ms >= fault->next_version_ms) {
            soak_operator_add_route();
            fault->next_version_ms += fault->version_ms;
        }
        else if (fault->kind == FAULT_STORE_DRILL && store_is_up) {
            fault->goes_on = fault->goes_on && soak_drill_tick(now_ms);
        }
        if (can_end(faults, fault, now_ms)) {
            end_fault(faults, fault, now_ms);
            g_ptr_array_remove_index_fast(faults->active, i - 1);
        }
    }
}

static void
clear_fakes(void)
{
    static const char *const worker_commands[] = {
        "full?on=0", "fail?on=0", "cut?after=0", "silent?on=0", "raw"};

    soak_operator_control_store("down?on=0");
    soak_operator_control_store("quiet?on=0");
    soak_operator_control_store("refuse?on=0");
    for (uint32_t i = 0; i < SOAK_WORKERS; i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(worker_commands); j++) {
            soak_operator_control_worker(i, worker_commands[j]);
        }
    }
}

/* A request that crashes workers and evacuations go on in a calm phase, where
   nothing keeps the gateways from knowing them. */
static void
end_all(struct soak_faults *faults, bool calm, uint64_t now_ms)
{
    for (guint i = 0; i < faults->active->len; i++) {
        struct fault *fault = g_ptr_array_index(faults->active, i);

        if (!calm || (fault->kind != FAULT_REQUEST_CRASHES &&
                      fault->kind != FAULT_EVACUATE)) {
            fault->ends_ms = now_ms;
        }
    }
    soak_drill_hurry(now_ms);
    soak_faults_end_due(faults, now_ms);
    clear_fakes();
}

/* Draws what happens in a calm phase, and ends the storm. */
static void
begin_calm(struct soak_faults *faults, uint64_t now_ms)
{
    const struct soak_calm *calm =
        &soak_calms[draw_number(faults->phases, 0, SOAK_CALMS)];

    g_rand_set_seed(faults->details, g_rand_int(faults->phases));
    faults->phase_ends_ms += calm->duration_ms;
    end_all(faults, true, now_ms);
    if (calm->kind == FAULT_KIND_COUNT || faults->is_left_out[calm->kind]) {
        return;
    }
    faults->config_rests = true;
    faults->calm_kind = calm->kind;
    faults->calm_fault_ms = now_ms + calm->fault_ms;
    faults->calm_change_ms =
        calm->change_ms > 0 ? now_ms + calm->change_ms : UINT64_MAX;
}

/* Changes that the store's copy will lack. */
static void
change_before_drill(struct soak_faults *faults, uint64_t now_ms)
{
    uint32_t worker = draw_number(faults->details, 0, SOAK_WORKERS);

    soak_operator_replace_key();
    if (!is_blocked(faults, FAULT_DRAIN_WORKER, worker)) {
        start_fault(faults, FAULT_DRAIN_WORKER, worker, now_ms, LONG_DRAIN_MS);
    }
}

static void
tick_calm(struct soak_faults *faults, uint64_t now_ms)
{
    if (now_ms >= faults->calm_change_ms) {
        faults->calm_change_ms = UINT64_MAX;
        faults->copy_age_ms = AGE_AFTER_CHANGE_MS;
        change_before_drill(faults, now_ms);
    }
    if (now_ms >= faults->calm_fault_ms) {
        faults->calm_fault_ms = UINT64_MAX;
        start_fault(faults, faults->calm_kind, 0, now_ms, 0);
    }
}

static void
change_phase(struct soak_faults *faults, uint64_t now_ms)
{
    bool is_first = faults->phase_ends_ms == 0;

    if (is_first) {
        faults->phase_ends_ms = now_ms;
        faults->next_ms = now_ms;
    }
    faults->is_calm = !is_first && !faults->is_calm;
    faults->config_rests = false;
    faults->calm_change_ms = UINT64_MAX;
    faults->calm_fault_ms = UINT64_MAX;
    faults->copy_age_ms = MIN_AGE_MS;
    if (faults->is_calm) {
        begin_calm(faults, now_ms);
    }
    else {
        faults->phase_ends_ms +=
            draw_number(faults->phases, MIN_STORM_MS, MAX_STORM_MS);
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
    tick_calm(faults, now_ms);
    soak_faults_end_due(faults, now_ms);
    if (now_ms >= faults->next_ms) {
        begin_random_fault(faults, now_ms);
    }
}

void
soak_faults_end_all(struct soak_faults *faults, uint64_t now_ms)
{
    soak_restarts_end_cold(faults->restarts);
    end_all(faults, false, now_ms);
}
