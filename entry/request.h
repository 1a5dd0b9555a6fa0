#ifndef ENTRY_REQUEST_H
#define ENTRY_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/binding.h"
#include "core/message.h"

/* Requests on their way to endpoints: a binding each, its frames to and from
   the agents, and the register by request id. Loop thread only. */

struct agents;
struct loop;
struct members;
struct request;
struct requests;
struct _GBytes;

/* What is asked of an endpoint. All strings and arrays are copied. */
struct request_spec {
    enum work_class work_class;
    bool repeatable;
    bool streamed;
    bool keyed;
    uint32_t time_limit_ms;
    const char *account;
    const char *pool;
    uint64_t prompt_tokens;
    uint64_t max_tokens;
    uint64_t memory_tokens; /* of one engine; 0: prompt and answer */
    const uint64_t *prefixes;
    uint32_t prefix_count;
    uint64_t affinity;   /* 0: none */
    bool has_fixed_node; /* only this node will do */
    uint32_t fixed_node;
    const char *method;
    const char *path;
    const char *content_type; /* NULL: none */
    const char *memory_parts; /* held at other engines; NULL: none */
    struct _GBytes *body;     /* referenced */
};

/* None may destroy the request. */
struct request_handlers {
    bool (*may_retry)(void *data);
    /* Only if keyed: then call request_claimed(), _join() or _join_lost(). */
    void (*claim)(void *data, uint32_t node, uint32_t attempt);
    void (*head)(void *data, uint32_t status, const char *content_type);
    void (*bytes)(void *data, const uint8_t *bytes, size_t count);
    void (*restart)(void *data);
    void (*finish)(void *data, const struct binding_result *result);
};

struct requests *requests_create(struct loop *loop,
                                 const struct binding_settings *settings,
                                 uint64_t incarnation,
                                 struct members *members);
/* Before the first request; the two know each other. */
void requests_set_agents(struct requests *requests, struct agents *agents);

struct request *request_create(struct requests *requests,
                               const struct request_spec *spec,
                               const struct request_handlers *handlers,
                               void *data);
void request_start(struct request *request);
/* Ends it without a result if it has none yet, and frees it. */
void request_destroy(struct request *request);
/* Nobody wants its result any more; work at endpoints is ended. */
void request_abandon(struct request *request);

struct request_id request_own_id(const struct request *request);
uint64_t request_received_bytes(const struct request *request);
/* The agent of the node that has offered. */
uint64_t request_agent_incarnation(const struct request *request,
                                   uint32_t node);
/* So much of the answer is consumed: the agent may send on. */
void request_consumed(struct request *request, uint64_t offset);

void request_claimed(struct request *request, bool ours, enum reason reason,
                     uint64_t now_ms);
void request_join(struct request *request, uint32_t node, struct request_id id,
                  uint32_t attempt, uint64_t incarnation, uint64_t now_ms);
void request_join_lost(struct request *request);

/* From the agents. */
void requests_message(struct requests *requests, uint32_t node,
                      uint64_t incarnation, const struct message *message,
                      uint64_t now_ms);
void requests_node_up(struct requests *requests, uint32_t node,
                      uint64_t incarnation, uint64_t now_ms);
void requests_node_down(struct requests *requests, uint32_t node,
                        uint64_t now_ms);
void requests_node_silent(struct requests *requests, uint32_t node,
                          uint64_t now_ms);
void requests_node_leaving(struct requests *requests, uint32_t node,
                           uint64_t now_ms);

#endif
