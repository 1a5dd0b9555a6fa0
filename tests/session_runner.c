/* Plays a scripted session: one entry's bindings and several agents'
   dispatches in virtual time, with links that delay, cut and freeze. Prints
   every frame and decision; the output is compared with a golden file.

   delay MS                    one way, from now on
   pool KEY=VALUE ...          class memory rate streams keep short
   agent NAME                  with an engine that answers 20 ms after a start
   request ID KEY=VALUE ...    prompt max limit account via=a,b class repeat
                               stream key
   engine NAME answer|hold|fail|partial|refuse
   answer NAME ID              what the engine has held
   cut NAME / restore NAME / restart NAME
   freeze NAME / thaw NAME
   drain NAME / sick NAME / well NAME / leaving NAME
   silent NAME                 the entry notices silence
   gone ID                     the caller goes away
   claims up|down|content       how the store answers a claim; one key for all
   copy NAME TYPE / drop NAME TYPE
                               the next such frame to or from it, twice or not
   budget N                    retries that the route still has
   run MS                      lets time pass */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/dispatch.h"
#include "tests/session_world.h"

static uint64_t
number(const char *text)
{
    return g_ascii_strtoull(text, NULL, 10);
}

static void
set_pool_key(const char *key, const char *value)
{
    if (strcmp(key, "class") == 0) {
        world.pool.work_class =
            strcmp(value, "plain") == 0 ? WORK_PLAIN : WORK_PROMPT;
    }
    else if (strcmp(key, "memory") == 0) {
        world.pool.memory_tokens = number(value);
    }
    else if (strcmp(key, "rate") == 0) {
        world.pool.prefill_rate = number(value);
    }
    else if (strcmp(key, "streams") == 0) {
        world.pool.streams = number(value);
    }
    else if (strcmp(key, "keep") == 0) {
        world.pool.short_keep_percent = number(value);
    }
    else if (strcmp(key, "short") == 0) {
        world.pool.short_tokens = number(value);
    }
    else {
        world_usage(key);
    }
}

static void
each_pair(char **words, void (*take)(const char *key, const char *value))
{
    for (; *words != NULL; words++) {
        char **pair = g_strsplit(*words, "=", 2);

        if (pair[0] == NULL || pair[1] == NULL) {
            world_usage(*words);
        }
        take(pair[0], pair[1]);
        g_strfreev(pair);
    }
}

static struct request *new_request;
static struct binding_request new_binding;

static void
set_via(const char *value)
{
    char **names = g_strsplit(value, ",", -1);

    new_request->node_count = 0;
    for (size_t i = 0; names[i] != NULL; i++) {
        new_request->nodes[new_request->node_count++] =
            world_find_agent(names[i]);
    }
    g_strfreev(names);
}

static void
set_request_key(const char *key, const char *value)
{
    if (strcmp(key, "prompt") == 0) {
        new_request->prompt = number(value);
    }
    else if (strcmp(key, "max") == 0) {
        new_request->max = number(value);
    }
    else if (strcmp(key, "limit") == 0) {
        new_binding.time_limit_ms = (uint32_t)number(value);
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
        world_usage(key);
    }
}

static void
do_request(char **words)
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
    new_request->id.counter = ++world.last_request;
    new_request->prompt = 10;
    new_request->work_class = world.pool.work_class;
    new_request->answer = g_string_new(NULL);
    g_strlcpy(new_request->account, "default", sizeof(new_request->account));
    for (uint32_t i = 0; i < world.agent_count; i++) {
        new_request->nodes[new_request->node_count++] = i;
    }
    memset(&new_binding, 0, sizeof(new_binding));
    new_binding.time_limit_ms = 10000;
    new_binding.repeatable = world.pool.work_class == WORK_PROMPT;
    each_pair(words + 1, set_request_key);
    new_binding.id = new_request->id;
    new_request->wire_id = new_request->id;
    new_request->repeatable = new_binding.repeatable;
    new_request->binding = binding_create(&settings, &new_binding,
                                          &world_binding_ops, new_request);
    g_ptr_array_add(world.requests, new_request);
    binding_start(new_request->binding, world.now_ms);
}

static void
do_agent(char **words)
{
    struct agent *agent = &world.agents[world.agent_count++];

    agent->name = g_strdup(words[0]);
    g_queue_init(&agent->inbox);
    world_start_agent(agent);
}

static void
do_engine(char **words)
{
    static const char *const modes[] = {"answer",  "hold",   "fail",
                                        "partial", "refuse", NULL};

    for (int i = 0; modes[i] != NULL; i++) {
        if (strcmp(modes[i], words[1]) == 0) {
            world.agents[world_find_agent(words[0])].engine =
                (enum engine_mode)i;
            return;
        }
    }
    world_usage(words[1]);
}

static void
do_answer(char **words)
{
    struct agent *agent = &world.agents[world_find_agent(words[0])];
    struct request *request = world_find_request(words[1]);
    struct work *work = dispatch_find_running(agent->dispatch, request->id);

    if (work == NULL) {
        world_usage("nothing runs there");
    }
    agent->engine = ENGINE_ANSWER;
    world_serve(agent, work, 0);
}

static bool
do_agent_event(const char *verb, const char *name)
{
    uint32_t node = world_find_agent(name);
    struct agent *agent = &world.agents[node];

    world_say("-- %s %s", verb, name);
    if (strcmp(verb, "cut") == 0) {
        world_cut_link(node);
    }
    else if (strcmp(verb, "restore") == 0) {
        world_restore_link(node);
    }
    else if (strcmp(verb, "restart") == 0) {
        world_restart_agent(node);
    }
    else if (strcmp(verb, "freeze") == 0) {
        agent->frozen = true;
    }
    else if (strcmp(verb, "thaw") == 0) {
        world_thaw(node);
    }
    else if (strcmp(verb, "drain") == 0) {
        dispatch_drain(agent->dispatch, world.now_ms);
    }
    else if (strcmp(verb, "sick") == 0) {
        dispatch_set_healthy(agent->dispatch, false, world.now_ms);
    }
    else if (strcmp(verb, "well") == 0) {
        dispatch_set_healthy(agent->dispatch, true, world.now_ms);
    }
    else if (strcmp(verb, "leaving") == 0) {
        agent->leaving = true;
        world_tell_bindings(node, binding_node_leaving);
    }
    else if (strcmp(verb, "silent") == 0) {
        world_tell_bindings(node, binding_link_silent);
    }
    else {
        return false;
    }
    return true;
}

static void
set_fault(char **words, bool copies)
{
    g_free(world.fault_agent);
    g_free(world.fault_type);
    world.fault_agent = g_strdup(words[0]);
    world.fault_type = g_strdup(words[1]);
    world.fault_copies = copies;
}

static void
run_line(char **words)
{
    const char *verb = words[0];

    if (strcmp(verb, "delay") == 0) {
        world.delay_ms = number(words[1]);
    }
    else if (strcmp(verb, "pool") == 0) {
        each_pair(words + 1, set_pool_key);
    }
    else if (strcmp(verb, "agent") == 0) {
        do_agent(words + 1);
    }
    else if (strcmp(verb, "request") == 0) {
        do_request(words + 1);
    }
    else if (strcmp(verb, "engine") == 0) {
        do_engine(words + 1);
    }
    else if (strcmp(verb, "answer") == 0) {
        do_answer(words + 1);
    }
    else if (strcmp(verb, "gone") == 0) {
        world_say("-- the caller of %s goes away", words[1]);
        binding_abandon(world_find_request(words[1])->binding);
    }
    else if (strcmp(verb, "claims") == 0) {
        g_free(world.claims);
        world.claims = g_strdup(words[1]);
    }
    else if (strcmp(verb, "copy") == 0 || strcmp(verb, "drop") == 0) {
        set_fault(words + 1, strcmp(verb, "copy") == 0);
    }
    else if (strcmp(verb, "budget") == 0) {
        world.retry_budget = number(words[1]);
    }
    else if (strcmp(verb, "run") == 0) {
        world_run_until(world.now_ms + number(words[1]));
    }
    else if (words[1] == NULL || !do_agent_event(verb, words[1])) {
        world_usage(verb);
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
    world.delay_ms = 1;
    world.retry_budget = NO_BUDGET_LIMIT;
    world.requests = g_ptr_array_new();
    world.events = g_ptr_array_new();
    world.claims = g_strdup("up");
    world.pool.name = pool_name;
    world.pool.streams = 4;
    world.pool.memory_tokens = 1000;
    world.pool.prefill_rate = 1000;
    world.pool.short_tokens = 100;
    world.pool.short_keep_percent = 10;
    run_script(text);
    world_print_accounts();
    world_destroy();
    g_free(text);
    return EXIT_SUCCESS;
}
