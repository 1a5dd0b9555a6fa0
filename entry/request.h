#ifndef ENTRY_REQUEST_H
#define ENTRY_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/binding.h"
#include "core/message.h"

/* Requests that are bound to endpoints, one binding (core/binding.h) for each.
   The module chooses the candidates, sends the binding's messages to the
   agents, and passes the agents' messages to the bindings by request id. A
   node is an endpoint with its agent, by its number in core/members.h. Times
   are those of loop_now_ms(). Loop thread only. */

struct agents;
struct endpoint_crashes;
struct loop;
struct members;
struct request;
struct requests;
struct _GBytes;

/* What to run at an endpoint. Strings and arrays are copied. */
struct request_spec {
    enum work_class work_class;
    bool repeatable; /* running it twice does no harm */
    bool streamed;   /* the response is delivered as it arrives */
    bool keyed;      /* an idempotency key must be claimed before the grant */
    uint32_t time_limit_ms;
    const char *account;
    const char *pool;
    uint64_t prompt_tokens;
    uint64_t max_tokens;
    /* KV memory needed at the endpoint; 0: prompt_tokens + max_tokens. */
    uint64_t memory_tokens;
    const uint64_t *prefixes; /* hashes of the prompt, longest first */
    uint32_t prefix_count;
    uint64_t affinity;   /* hash that selects the first candidate; 0: none */
    bool has_fixed_node; /* fixed_node is the only candidate */
    uint32_t fixed_node;
    const char *method;
    const char *path;
    const char *content_type; /* NULL: none */
    const char *memory_parts; /* held at other engines; NULL: none */
    struct _GBytes *body;     /* the request takes a reference */
    const char *digest;       /* from request_digest(); NULL: a hold */
};

/* None of the handlers may destroy the request. */
struct request_handlers {
    /* Returns whether the retry budget allows another attempt, and charges the
       budget if so. */
    bool (*may_retry)(void *data);
    /* Claims the idempotency key, since the node has offered to run the
       request. The owner reports the result with request_claimed(),
       request_join() or request_join_failed(). Called only if the request is
       keyed. */
    void (*claim)(void *data, uint32_t node, uint32_t attempt);
    /* Deliver the head of the response, and then its body in parts. */
    void (*head)(void *data, uint32_t status, const char *content_type);
    void (*bytes)(void *data, const uint8_t *bytes, size_t count);
    /* Discards the response delivered so far; another attempt starts over. */
    void (*restart)(void *data);
    /* Reports the result. The last call; it comes exactly once, unless the
       request is abandoned or destroyed before. */
    void (*finish)(void *data, const struct binding_result *result);
};

/* incarnation is this process's and becomes part of every request id. Copies
   settings and borrows the rest. */
struct requests *requests_create(struct loop *loop,
                                 const struct binding_settings *settings,
                                 uint64_t incarnation, struct members *members,
                                 struct endpoint_crashes *crashes);
/* Sets the links to the agents. It is called before the first request, and
   separately, since agents_create() needs handlers that call this module. */
void requests_set_agents(struct requests *requests, struct agents *agents);

/* The process ends: all requests, also later ones, end by that time at the
   latest, as by a time limit. */
void requests_end_by(struct requests *requests, uint64_t end_ms);

/* Copies handlers; data is passed to them. */
struct request *request_create(struct requests *requests,
                               const struct request_spec *spec,
                               const struct request_handlers *handlers,
                               void *data);
/* Starts the time limit and the first attempt. */
void request_start(struct request *request);
/* Abandons the request if it has no result yet, and frees it. NULL is
   allowed. */
void request_destroy(struct request *request);
/* Withdraws reservations and cancels work at the endpoints. No handler is
   called any more. */
void request_abandon(struct request *request);

/* Id under which this request reserves; it stays the same after
   request_join(). */
struct request_id request_own_id(const struct request *request);
/* Incarnation of the node's agent; 0 if the link to it is down. */
uint64_t request_agent_incarnation(const struct request *request,
                                   uint32_t node);
/* Reports that the response body is consumed up to this offset in bytes, so
   that the agent may send more. */
void request_consumed(struct request *request, uint64_t offset);

/* Reports the result of handlers.claim(). If ours is true, the claim holds and
   the grant is sent; if not, the request ends with the reason. */
void request_claimed(struct request *request, bool ours, enum reason reason,
                     uint64_t now_ms);
/* Reports that another request has claimed the key. This one joins the work
   that was granted to the other, to get the same response. node, id, attempt
   and incarnation (the agent's) identify the other grant. */
void request_join(struct request *request, uint32_t node, struct request_id id,
                  uint32_t attempt, uint64_t incarnation, uint64_t now_ms);
/* Reports that another request has claimed the key and that the agent which
   has its work is not known. The outcome is OUTCOME_UNKNOWN. */
void request_join_failed(struct request *request);

/* Handles a message from the agent of a node; incarnation is that agent's. */
void requests_message(struct requests *requests, uint32_t node,
                      uint64_t incarnation, const struct message *message,
                      uint64_t now_ms);
/* Handle changes of a node: the link to its agent is established; the link was
   lost or could not be established; the agent sends nothing although it has
   work of this entry; the platform's list no longer has the node, has it as
   draining or has another address for it. */
void requests_node_up(struct requests *requests, uint32_t node,
                      uint64_t incarnation, uint64_t now_ms);
void requests_node_down(struct requests *requests, uint32_t node,
                        uint64_t now_ms);
void requests_node_silent(struct requests *requests, uint32_t node,
                          uint64_t now_ms);
void requests_node_draining(struct requests *requests, uint32_t node,
                            uint64_t now_ms);

#endif
