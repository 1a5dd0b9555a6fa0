/* Plays scripts of placement in virtual time and prints each choice. Lines:
     engine ID DATA_CENTRE     an engine of 16 slots and 405,000 tokens
     at MS                     the time
     prompt NAME TOKENS CLASS  places a prompt; CLASS is short, middle or long
     read NAME                 its first event has come
     late NAME                 it has missed an aim
     end NAME                  it has ended
     busy ENGINE COUNT CLASS   other gateways have so many streams there
     gateways NAME COUNT       places as that gateway, one of so many
     reading ENGINE MS         other gateways have so much more to read there
   and # for comments. */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/catalog.h"
#include "core/endpoints.h"
#include "core/placement.h"

enum {
    LINE_BYTES = 256,
    MAX_WORDS = 4,
    OUTPUT_TOKENS = 1200,
};

struct prompt {
    struct placement placement;
    struct endpoint_work works[PLACEMENT_MAX_ENGINES];
};

struct kind {
    const char *name;
    uint32_t first_aim_ms;
    uint32_t pause_aim_ms;
};

/* The users' three kinds of prompts. */
static const struct kind kinds[] = {
    {"short", 300, 250}, {"middle", 1500, 600}, {"long", 4000, 1000}};

struct run {
    struct endpoints *endpoints;
    struct catalog *catalog;
    const struct catalog_service *service;
    GHashTable *prompts; /* name to struct prompt */
    GRand *random;
    uint64_t now_ms;
    char *gateway;
    uint32_t gateways;
};

static void
die(const char *line)
{
    fprintf(stderr, "can't play: %s\n", line);
    exit(EXIT_FAILURE);
}

static const struct kind *
kind_of(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (strcmp(kinds[i].name, name) == 0) {
            return &kinds[i];
        }
    }
    die(name);
    return NULL;
}

static struct catalog *
create_catalog(void)
{
    static const struct catalog_limits limits = {1, 1, 1, 1};
    struct catalog *catalog = catalog_create(1, &limits);
    struct catalog_service service = {
        .name = g_strdup("model"),
        .max_connections = 264,
        .has_engine = true,
        .engine = {.slots = 16,
                   .memory_tokens = 405000,
                   .step_ms = 1.31,
                   .step_per_seq_ms = 0.000917,
                   .context_ms_per_k = 0.00213,
                   .prefill_tokens_per_s = 154000.0,
                   .attention_ms_per_m_pairs = 0.162,
                   .chunk_tokens = 2048,
                   .stride_steps = 34,
                   .mean_output_tokens = 1266}};

    catalog_add_service(catalog, &service);
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        struct catalog_route route = {.name = g_strdup(kinds[i].name),
                                      .host = g_strdup("a.example"),
                                      .prefix = g_strdup("/"),
                                      .is_stream = true,
                                      .gap_target_ms = kinds[i].pause_aim_ms,
                                      .share_count = 1};

        route.shares = g_new0(struct catalog_share, 1);
        route.shares[0].service = g_strdup("model");
        route.shares[0].weight = 1;
        catalog_add_route(catalog, &route);
    }
    catalog_finish(catalog);
    return catalog;
}

static struct prompt *
find_prompt(const struct run *run, const char *name)
{
    struct prompt *prompt = g_hash_table_lookup(run->prompts, name);

    if (prompt == NULL) {
        die(name);
    }
    return prompt;
}

static gint
compare_ids(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void
print_choice(const struct run *run, const char *name,
             const struct placement *placement)
{
    GPtrArray *helpers = g_ptr_array_new();

    printf("%5lu %s at %s", (unsigned long)run->now_ms, name,
           placement->count > 0 ? placement->engines[0]->id : "none");
    for (uint32_t i = 1; i < placement->count; i++) {
        g_ptr_array_add(helpers, placement->engines[i]->id);
    }
    g_ptr_array_sort(helpers, compare_ids);
    if (placement->holders > 0) {
        printf(" holding %lu at %u more",
               (unsigned long)placement->part_tokens, placement->holders);
    }
    for (guint i = 0; i < helpers->len; i++) {
        printf("%s%s", i == 0 ? " with " : ",",
               (const char *)g_ptr_array_index(helpers, i));
    }
    printf("\n");
    g_ptr_array_free(helpers, TRUE);
}

static void
begin_works(const struct run *run, struct prompt *prompt, uint64_t tokens,
            uint32_t pause_class)
{
    const struct placement *placement = &prompt->placement;

    for (uint32_t i = 0; i < placement->count; i++) {
        prompt->works[i] = (struct endpoint_work){
            .started_ms = run->now_ms,
            .prefill_ms = engine_model_prefill_ms(&run->service->engine,
                                                  tokens, placement->count),
            .is_stream = i == 0,
            .tokens = i <= placement->holders ? placement->part_tokens : 0,
            .gap_class = pause_class,
            .value = placement_prompt_value(tokens)};
        endpoint_add_work(placement->engines[i], &prompt->works[i]);
    }
}

static void
place_prompt(struct run *run, const char *name, uint64_t tokens,
             const struct kind *kind)
{
    struct prompt *prompt = g_new0(struct prompt, 1);
    GPtrArray *usable = endpoints_usable(run->endpoints, "model", run->now_ms);
    struct placement_request request = {
        .service = run->service,
        .gateway = run->gateway,
        .gateway_count = run->gateways,
        .data_centre = "here",
        .prompt_tokens = tokens,
        .output_tokens = OUTPUT_TOKENS,
        .first_event_target_ms = kind->first_aim_ms,
        .gap_class = catalog_gap_class(run->service, kind->pause_aim_ms),
        .value = placement_prompt_value(tokens)};

    /* The random jitter only decides between engines that are alike: by id
       here. */
    placement_choose(&request, usable, run->now_ms, run->random,
                     &prompt->placement);
    if (prompt->placement.deferral_ms > 0.0) {
        printf("%5lu %s refused for %.0f ms\n", (unsigned long)run->now_ms,
               name, prompt->placement.deferral_ms);
        prompt->placement.count = 0;
    }
    else {
        print_choice(run, name, &prompt->placement);
    }
    begin_works(run, prompt, tokens, request.gap_class);
    g_hash_table_insert(run->prompts, g_strdup(name), prompt);
    g_ptr_array_free(usable, TRUE);
}

static void
set_others(const struct run *run, const char *id, uint32_t streams,
           uint32_t pause_class, double reading_ms)
{
    struct endpoint *endpoint = endpoints_find(run->endpoints, id);

    if (endpoint == NULL) {
        die(id);
    }
    endpoint->peer_load.requests += streams;
    endpoint->peer_load.streams[pause_class] += streams;
    endpoint->peer_load.value[pause_class] +=
        streams * placement_prompt_value(5000);
    endpoint->peer_load.prefill_ms += reading_ms;
}

static void
add_engine(const struct run *run, const char *id, const char *data_centre)
{
    struct endpoint_entry entry = {.id = id,
                                   .service = "model",
                                   .ip = "127.0.0.1",
                                   .port = 1,
                                   .data_centre = data_centre,
                                   .slots = 16};

    endpoints_put(run->endpoints, &entry);
}

static void
end_prompt(const struct run *run, const char *name)
{
    struct prompt *prompt = find_prompt(run, name);

    for (uint32_t i = 0; i < prompt->placement.count; i++) {
        endpoint_remove_work(prompt->placement.engines[i], &prompt->works[i]);
    }
    g_hash_table_remove(run->prompts, name);
}

static void
mark_read(const struct run *run, const char *name)
{
    struct prompt *prompt = find_prompt(run, name);

    for (uint32_t i = 0; i < prompt->placement.count; i++) {
        endpoint_work_prefilled(prompt->placement.engines[i],
                                &prompt->works[i], run->now_ms);
    }
}

static void
play(struct run *run, char **words, guint count, const char *line)
{
    if (strcmp(words[0], "engine") == 0 && count == 3) {
        add_engine(run, words[1], words[2]);
    }
    else if (strcmp(words[0], "at") == 0 && count == 2) {
        run->now_ms = g_ascii_strtoull(words[1], NULL, 10);
    }
    else if (strcmp(words[0], "prompt") == 0 && count == 4) {
        place_prompt(run, words[1], g_ascii_strtoull(words[2], NULL, 10),
                     kind_of(words[3]));
    }
    else if (strcmp(words[0], "busy") == 0 && count == 4) {
        set_others(run, words[1],
                   (uint32_t)g_ascii_strtoull(words[2], NULL, 10),
                   (uint32_t)(kind_of(words[3]) - kinds), 0.0);
    }
    else if (strcmp(words[0], "reading") == 0 && count == 3) {
        set_others(run, words[1], 0, 0, g_ascii_strtod(words[2], NULL));
    }
    else if (strcmp(words[0], "gateways") == 0 && count == 3) {
        g_free(run->gateway);
        run->gateway = g_strdup(words[1]);
        run->gateways = (uint32_t)g_ascii_strtoull(words[2], NULL, 10);
    }
    else if (strcmp(words[0], "read") == 0 && count == 2) {
        mark_read(run, words[1]);
    }
    else if (strcmp(words[0], "late") == 0 && count == 2) {
        find_prompt(run, words[1])->works[0].value = 0.0;
    }
    else if (strcmp(words[0], "end") == 0 && count == 2) {
        end_prompt(run, words[1]);
    }
    else {
        die(line);
    }
}

int
main(int argc, char **argv)
{
    struct run run = {0};
    char line[LINE_BYTES];
    FILE *file = argc == 2 ? fopen(argv[1], "r") : NULL;

    if (file == NULL) {
        fprintf(stderr, "usage: placement_runner SCRIPT\n");
        return EXIT_FAILURE;
    }
    run.endpoints = endpoints_create();
    run.catalog = create_catalog();
    run.service = catalog_find_service(run.catalog, "model");
    run.prompts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    run.gateway = g_strdup("g1");
    run.gateways = 1;
    run.random = g_rand_new_with_seed(1);
    while (fgets(line, sizeof(line), file) != NULL) {
        char **words = g_strsplit_set(g_strstrip(line), " ", MAX_WORDS);

        if (words[0] != NULL && words[0][0] != '#') {
            play(&run, words, g_strv_length(words), line);
        }
        g_strfreev(words);
    }
    fclose(file);
    endpoints_destroy(run.endpoints);
    g_hash_table_destroy(run.prompts);
    catalog_unref(run.catalog);
    g_rand_free(run.random);
    g_free(run.gateway);
    return EXIT_SUCCESS;
}
