/* Runs a scripted session in virtual time: the bindings of one entry and the
   dispatches of several agents, with links that delay, lose or hold frames.
   Prints each frame and decision; the output is compared with a golden file.
   A script has one command per line:

   delay MS                    sets the one-way delay of the links and the
                               delay of the store's answers (default 1)
   pool KEY=VALUE ...          sets the pool of the agents added later, and the
                               class of later requests: class (plain or prompt,
                               default prompt), memory (KV memory in tokens,
                               default 1000), rate (prefill in tokens per
                               second, default 1000), streams (default 4),
                               short (longest short prompt in tokens, default
                               100), keep (percent of the memory that only
                               short prompts may use, default 10)
   agent NAME                  adds an agent whose engine answers 20 ms after a
                               start
   request ID KEY=VALUE ...    starts a request: prompt and max in tokens
                               (default 10 and 0), limit in ms (default 10000),
                               account (default "default"), via=a,b (candidate
                               agents, default all), and yes or no for repeat
                               (repeatable, default yes for prompts), stream
                               (streamed, default no) and key (keyed, default
                               no)
   engine NAME MODE            sets what the engine does with work: answer (the
                               default), hold (runs it without an answer),
                               fail, partial (sends a part of the answer, then
                               holds) or refuse (reports that it has not run)
   answer NAME ID              the engine answers the request, which it holds,
                               and all later work
   cut NAME                    the link to the agent is lost
   restore NAME                the link is established again
   restart NAME                the agent restarts and loses its state
   freeze NAME                 the agent stops: frames to it are held and its
                               timeouts wait; its engine continues
   thaw NAME                   the agent continues and gets the held frames
   drain NAME                  the agent refuses reservations from now on
   sick NAME / well NAME       the engine fails or passes its health checks
   leaving NAME                the platform's list says that the agent leaves
   silent NAME                 the entry detects that the agent sends nothing
   gone ID                     the caller of the request disconnects
   claims MODE                 how the store answers claims: up (normally),
                               down (fails), content (the key was used with
                               another request); all requests have one key
   copy NAME TYPE              duplicates the next frame of the type to or from
                               the agent
   drop NAME TYPE              drops the next frame of the type to or from the
                               agent
   budget N                    sets how many more retries all requests may do
                               (default 1000)
   run MS                      advances the time

   Lines that begin with # are comments. */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/dispatch.h"
#include "tests/sim.h"

static uint64_t
parse_number(const char *text)
{
    return g_ascii_strtoull(text, NULL, 10);
}

static void
set_pool_key(const char *key, const char *value)
{
    if (strcmp(key, "class") == 0) {
        sim.pool.work_class =
            strcmp(value, "plain") == 0 ? WORK_PLAIN : WORK_PROMPT;
    }
    else if (strcmp(key, "memory") == 0) {
        sim.pool.memory_tokens = parse_number(value);
    }
    else if (strcmp(key, "rate") == 0) {
        sim.pool.prefill_rate = parse_number(value);
    }
    else if (strcmp(key, "streams") == 0) {
        sim.pool.streams = parse_number(value);
    }
    else if (strcmp(key, "keep") == 0) {
        sim.pool.short_keep_percent = parse_number(value);
    }
    else if (strcmp(key, "short") == 0) {
        sim.pool.short_tokens = parse_number(value);
    }
    else {
        sim_script_error(key);
    }
}

static void
for_each_pair(char **words, void (*set)(const char *key, const char *value))
{
    for (; *words != NULL; words++) {
        char **pair = g_strsplit(*words, "=", 2);

        if (pair[0] == NULL || pair[1] == NULL) {
            sim_script_error(*words);
        }
        set(pair[0], pair[1]);
        g_strfreev(pair);
    }
}

/* The request of the present line; set_request_key() fills both structs. */
static struct request *new_request;
static struct binding_request new_binding;

static void
set_via(const char *value)
{
    char **names = g_strsplit(value, ",", -1);

    new_request->node_count = 0;
    for (size_t i = 0; names[i] != NULL; i++) {
        new_request->nodes[new_request->node_count++] =
            sim_find_agent(names[i]);
    }
    g_strfreev(names);
}

static void
set_request_key(const char *key, const char *value)
{
    if (strcmp(key, "prompt") == 0) {
        new_request->prompt_tokens = parse_number(value);
    }
    else if (strcmp(key, "max") == 0) {
        new_request->max_tokens = parse_number(value);
    }
    else if (strcmp(key, "limit") == 0) {
        new_binding.time_limit_ms = (uint32_t)parse_number(value);
    }
    else if (strcmp(key, "account") == 0) {
        g_strlcpy(new_request->account, value, sizeof(new_request->account));
    }
    else if (strcmp(key, "via") == 0) {
        set_via(value);
    }
    else if (strcmp(key, "repeat") == 0) {
        new_binding.repeatable = strcmp(value, "yes") == 0;
    }
    else if (strcmp(key, "stream") == 0) {
        new_binding.streamed = strcmp(value, "yes") == 0;
    }
    else if (strcmp(key, "key") == 0) {
        new_binding.keyed = strcmp(value, "yes") == 0;
    }
    else {
        sim_script_error(key);
    }
}

static void
start_request(char **words)
{
    static const struct binding_settings settings = {.first_candidates = 2,
                                                     .widen_step = 2,
                                                     .widen_ms = 20,
                                                     .max_candidates = 8,
                                                     .resume_ms = 4000,
                                                     .max_attempts = 4};

    new_request = g_new0(struct request, 1);
    new_request->name = g_strdup(words[0]);
    new_request->id.incarnation = 1;
    new_request->id.counter = ++sim.last_request;
    new_request->prompt_tokens = 10;
    new_request->work_class = sim.pool.work_class;
    new_request->answer = g_string_new(NULL);
    g_strlcpy(new_request->account, "default", sizeof(new_request->account));
    for (uint32_t i = 0; i < sim.agent_count; i++) {
        new_request->nodes[new_request->node_count++] = i;
    }
    memset(&new_binding, 0, sizeof(new_binding));
    new_binding.time_limit_ms = 10000;
    new_binding.repeatable = sim.pool.work_class == WORK_PROMPT;
    for_each_pair(words + 1, set_request_key);
    new_binding.id = new_request->id;
    new_request->frame_id = new_request->id;
    new_request->repeatable = new_binding.repeatable;
    new_request->binding =
        binding_create(&settings, &new_binding, &sim_binding_ops, new_request);
    g_ptr_array_add(sim.requests, new_request);
    binding_start(new_request->binding, sim.now_ms);
}

static void
add_agent(char **words)
{
    struct agent *agent = &sim.agents[sim.agent_count++];

    agent->name = g_strdup(words[0]);
    g_queue_init(&agent->inbox);
    sim_start_agent(agent);
}

static void
set_engine(char **words)
{
    static const char *const modes[] = {"answer",  "hold",   "fail",
                                        "partial", "refuse", NULL};

    for (int i = 0; modes[i] != NULL; i++) {
        if (strcmp(modes[i], words[1]) == 0) {
            sim.agents[sim_find_agent(words[0])].engine = (enum engine_mode)i;
            return;
        }
    }
    sim_script_error(words[1]);
}

static void
release_answer(char **words)
{
    struct agent *agent = &sim.agents[sim_find_agent(words[0])];
    struct request *request = sim_find_request(words[1]);
    struct work *work = dispatch_find_running(agent->dispatch, request->id);

    if (work == NULL) {
        sim_script_error("nothing runs there");
    }
    agent->engine = ENGINE_ANSWER;
    sim_schedule_engine(agent, work, 0);
}

static bool
run_agent_command(const char *command, const char *name)
{
    uint32_t node = sim_find_agent(name);
    struct agent *agent = &sim.agents[node];

    sim_print("-- %s %s", command, name);
    if (strcmp(command, "cut") == 0) {
        sim_cut_link(node);
    }
    else if (strcmp(command, "restore") == 0) {
        sim_restore_link(node);
    }
    else if (strcmp(command, "restart") == 0) {
        sim_restart_agent(node);
    }
    else if (strcmp(command, "freeze") == 0) {
        agent->frozen = true;
    }
    else if (strcmp(command, "thaw") == 0) {
        sim_thaw_agent(node);
    }
    else if (strcmp(command, "drain") == 0) {
        dispatch_drain(agent->dispatch, sim.now_ms);
    }
    else if (strcmp(command, "sick") == 0) {
        dispatch_set_healthy(agent->dispatch, false, sim.now_ms);
    }
    else if (strcmp(command, "well") == 0) {
        dispatch_set_healthy(agent->dispatch, true, sim.now_ms);
    }
    else if (strcmp(command, "leaving") == 0) {
        agent->leaving = true;
        sim_notify_bindings(node, binding_node_draining);
    }
    else if (strcmp(command, "silent") == 0) {
        sim_notify_bindings(node, binding_link_silent);
    }
    else {
        return false;
    }
    return true;
}

static void
set_fault(char **words, bool duplicates)
{
    g_free(sim.fault_agent);
    g_free(sim.fault_type);
    sim.fault_agent = g_strdup(words[0]);
    sim.fault_type = g_strdup(words[1]);
    sim.fault_duplicates = duplicates;
}

static void
run_line(char **words)
{
    const char *command = words[0];

    if (strcmp(command, "delay") == 0) {
        sim.link_delay_ms = parse_number(words[1]);
    }
    else if (strcmp(command, "pool") == 0) {
        for_each_pair(words + 1, set_pool_key);
    }
    else if (strcmp(command, "agent") == 0) {
        add_agent(words + 1);
    }
    else if (strcmp(command, "request") == 0) {
        start_request(words + 1);
    }
    else if (strcmp(command, "engine") == 0) {
        set_engine(words + 1);
    }
    else if (strcmp(command, "answer") == 0) {
        release_answer(words + 1);
    }
    else if (strcmp(command, "gone") == 0) {
        sim_print("-- the caller of %s goes away", words[1]);
        binding_abandon(sim_find_request(words[1])->binding);
    }
    else if (strcmp(command, "claims") == 0) {
        g_free(sim.claim_mode);
        sim.claim_mode = g_strdup(words[1]);
    }
    else if (strcmp(command, "copy") == 0 || strcmp(command, "drop") == 0) {
        set_fault(words + 1, strcmp(command, "copy") == 0);
    }
    else if (strcmp(command, "budget") == 0) {
        sim.retry_budget = parse_number(words[1]);
    }
    else if (strcmp(command, "run") == 0) {
        sim_run_until(sim.now_ms + parse_number(words[1]));
    }
    else if (words[1] == NULL || !run_agent_command(command, words[1])) {
        sim_script_error(command);
    }
}

static void
run_script(const char *text)
{
    char **lines = g_strsplit(text, "\n", -1);

    for (size_t i = 0; lines[i] != NULL; i++) {
        char **words = g_strsplit_set(g_strstrip(lines[i]), " ", -1);

        if (words[0] != NULL && words[0][0] != '\0' && words[0][0] != '#') {
            run_line(words);
        }
        g_strfreev(words);
    }
    g_strfreev(lines);
}

int
main(int argc, char **argv)
{
    static char pool_name[] = "pool";
    char *text;

    if (argc != 2 || !g_file_get_contents(argv[1], &text, NULL, NULL)) {
        fprintf(stderr, "usage: session_runner SCRIPT\n");
        return EXIT_USAGE;
    }
    sim.link_delay_ms = 1;
    sim.retry_budget = UNLIMITED_RETRIES;
    sim.requests = g_ptr_array_new();
    sim.events = g_ptr_array_new();
    sim.claim_mode = g_strdup("up");
    sim.pool.name = pool_name;
    sim.pool.streams = 4;
    sim.pool.memory_tokens = 1000;
    sim.pool.prefill_rate = 1000;
    sim.pool.short_tokens = 100;
    sim.pool.short_keep_percent = 10;
    run_script(text);
    sim_print_agents();
    sim_destroy();
    g_free(text);
    return EXIT_SUCCESS;
}
