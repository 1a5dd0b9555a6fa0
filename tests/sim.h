#ifndef TESTS_SIM_H
#define TESTS_SIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/binding.h"
#include "core/config.h"
#include "core/message.h"

/* Simulation in virtual time for scripted sessions: the bindings of one entry,
   the dispatches and engines of several agents, the frames between them, and
   the store's claim of one idempotency key, which all keyed requests share.
   There is one simulation per process, in the global sim; it is not
   thread-safe. Nodes are indices into sim.agents, in the order of the script.
   Each run of a script prints the same lines. */

struct dispatch;
struct event;
struct work;

enum {
    MAX_AGENTS = 16,
    ENGINE_MS = 20,           /* from the start of work to its answer */
    ANSWER_PARTS = 2,         /* of an answer; each is "answer of REQUEST," */
    UNLIMITED_RETRIES = 1000, /* more than any script needs */
    EXIT_USAGE = 2,
};

enum engine_mode {
    ENGINE_ANSWER,  /* sends ANSWER_PARTS and ends the work */
    ENGINE_HOLD,    /* runs without an answer until a release or a stop */
    ENGINE_FAIL,    /* fails after it may have run */
    ENGINE_PARTIAL, /* sends one part, then changes to ENGINE_HOLD */
    ENGINE_REFUSE,  /* fails without having run */
};

struct agent {
    char *name;
    struct dispatch *dispatch;
    uint64_t incarnation;
    uint64_t link; /* 0: no link */
    bool frozen;
    bool leaving; /* the platform's list says so */
    enum engine_mode engine;
    GQueue inbox; /* struct event; frames held while it is frozen */
};

struct request {
    char *name;
    struct binding *binding;
    struct request_id id;
    /* The id in frames: id, or the other request's while this one has joined
       the other's work. */
    struct request_id frame_id;
    uint32_t nodes[MAX_AGENTS];
    size_t node_count;
    char account[MESSAGE_NAME_BYTES];
    uint64_t prompt_tokens;
    uint64_t max_tokens;
    uint64_t work_class;
    bool repeatable;
    /* Version of the claim that the request joined, 0: none. If that work did
       not run, the request may claim the key while the version is the same. */
    uint64_t joined_version;
    GString *answer;
};

/* The claim of the key, as the store has it. */
struct claim {
    uint64_t version; /* 0: not claimed */
    struct request *holder;
    uint32_t attempt;
    uint32_t node;
    uint64_t incarnation;
};

enum event_kind {
    EVENT_TO_AGENT, /* a frame arrives at an agent */
    EVENT_TO_ENTRY, /* a frame arrives at the entry */
    EVENT_ENGINE,   /* an engine processes work */
    EVENT_CLAIM,    /* the store answers a claim */
};

struct sim {
    uint64_t now_ms;
    uint64_t sequence;      /* number of the next event; breaks ties */
    uint64_t link_delay_ms; /* one way; also of the store's answers */
    uint64_t last_number;   /* given to an incarnation or a link */
    uint64_t last_request;
    uint64_t retry_budget;
    struct agent agents[MAX_AGENTS];
    uint32_t agent_count;
    GPtrArray *requests;
    GPtrArray *events;
    struct pool pool;
    char *claim_mode;   /* "up", "down" or "content" */
    struct claim claim; /* of the only key */
    /* The next frame of fault_type to or from this agent is lost; NULL: no
       fault. */
    char *fault_agent;
    char *fault_type;
    bool fault_duplicates; /* the frame is duplicated instead */
};

extern struct sim sim;

extern const struct binding_ops sim_binding_ops;

/* Prints a line that begins with the virtual time in ms. */
void sim_print(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Prints the invalid word of the script, or a reason, and exits with
   EXIT_USAGE. */
void sim_script_error(const char *what) __attribute__((noreturn));

/* Each calls sim_script_error() if there is none of that name. */
struct request *sim_find_request(const char *name);
/* Returns the node. */
uint32_t sim_find_agent(const char *name);

/* Gives the agent a new incarnation, link and dispatch. */
void sim_start_agent(struct agent *agent);
/* Lets the agent's engine process the work after that time, in the mode that
   it has then. */
void sim_schedule_engine(struct agent *agent, struct work *work,
                         uint64_t after_ms);

/* Advances the virtual time to end_ms and handles all events and timeouts that
   are due by then, in the order of their times. */
void sim_run_until(uint64_t end_ms);

/* Calls notify for the binding of each request. */
void sim_notify_bindings(uint32_t node,
                         void (*notify)(struct binding *binding, uint32_t node,
                                        uint64_t now_ms));
/* Cuts the link and notifies the bindings and the agent. An agent that is
   frozen is not notified, not even when it thaws. */
void sim_cut_link(uint32_t node);
/* Establishes a new link. */
void sim_restore_link(uint32_t node);
/* Replaces the agent by a new incarnation without any work. */
void sim_restart_agent(uint32_t node);
/* Ends a freeze: the agent handles the held frames and its timeouts. */
void sim_thaw_agent(uint32_t node);

/* Prints the memory that each agent holds, and its queued and active work. */
void sim_print_agents(void);
void sim_destroy(void);

#endif
