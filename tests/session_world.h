#ifndef TESTS_SESSION_WORLD_H
#define TESTS_SESSION_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/binding.h"
#include "core/config.h"
#include "core/message.h"

/* The world in which scripted sessions play: one entry's bindings, several
   agents' dispatches with engines, the frames between them, and the store's
   claim of one key, in virtual time. */

struct dispatch;
struct event;
struct work;

enum {
    MAX_AGENTS = 16,
    SERVE_MS = 20,
    STEP_PARTS = 2,
    NO_BUDGET_LIMIT = 1000,
    EXIT_USAGE = 2,
};

enum engine_mode {
    ENGINE_ANSWER,
    ENGINE_HOLD,
    ENGINE_FAIL,
    ENGINE_PARTIAL,
    ENGINE_REFUSE,
};

struct agent {
    char *name;
    struct dispatch *dispatch;
    uint64_t incarnation;
    uint64_t link; /* 0: cut */
    bool frozen;
    bool leaving; /* by the platform's list */
    enum engine_mode engine;
    GQueue inbox; /* struct event, while frozen */
};

struct request {
    char *name;
    struct binding *binding;
    struct request_id id;
    struct request_id wire_id; /* another's, while joined */
    uint32_t nodes[MAX_AGENTS];
    size_t node_count;
    char account[MESSAGE_NAME_BYTES];
    uint64_t prompt;
    uint64_t max;
    uint64_t work_class;
    bool repeatable;
    uint64_t claim_version; /* of the claim that it may take over */
    GString *answer;
};

/* Who has the key, as the store says. */
struct claim {
    uint64_t version; /* 0: nobody */
    struct request *holder;
    uint32_t attempt;
    uint32_t node;
    uint64_t incarnation;
};

enum event_kind {
    EVENT_TO_AGENT,
    EVENT_TO_ENTRY,
    EVENT_ENGINE,
    EVENT_CLAIM,
};

struct world {
    uint64_t now_ms;
    uint64_t order;
    uint64_t delay_ms;
    uint64_t last_link;
    uint64_t last_request;
    uint64_t retry_budget;
    struct agent agents[MAX_AGENTS];
    uint32_t agent_count;
    GPtrArray *requests;
    GPtrArray *events;
    struct pool pool;
    char *claims;
    struct claim claim; /* of the one key */
    char *fault_agent;  /* whose next frame of a type is copied or dropped */
    char *fault_type;
    bool fault_copies;
};

extern struct world world;

extern const struct binding_ops world_binding_ops;

/* Prints a line with the present time. */
void world_say(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends the process: the script is wrong. */
void world_usage(const char *what) __attribute__((noreturn));

struct request *world_find_request(const char *name);
uint32_t world_find_agent(const char *name);

/* Gives an agent a new incarnation, link and dispatch. */
void world_start_agent(struct agent *agent);
/* Its engine goes on with this work, after a while. */
void world_serve(struct agent *agent, struct work *work, uint64_t after_ms);

/* Plays everything that is due until then. */
void world_run_until(uint64_t end_ms);

void world_tell_bindings(uint32_t node,
                         void (*tell)(struct binding *binding, uint32_t node,
                                      uint64_t now_ms));
void world_cut_link(uint32_t node);
void world_restore_link(uint32_t node);
void world_restart_agent(uint32_t node);
void world_thaw(uint32_t node);

void world_print_accounts(void);
void world_destroy(void);

#endif
