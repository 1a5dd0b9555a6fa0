#include "core/placement.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "core/endpoints.h"

enum {
    /* Prompts over this may be read by several engines: below, a read by one
       is well within the shortest pauses that routes allow. */
    SPLIT_TOKENS = 15000,
    MAX_ENGINES = 8,
    /* Streams up to which an engine is filled first, in eighths of its slots:
       the rest is for those that are placed at the same moment elsewhere. */
    PACKED_EIGHTHS = 7,
    EIGHTHS = 8,
};

/* Worth of prompts in the users' sheets: 1.3 at 5,000 tokens, 24 at
   182,000. */
static const double worth_at_base = 1.3;
static const double worth_base_tokens = 5000.0;
static const double worth_exponent = 0.81;

/* Share of its worth that a late answer loses, from the same sheets. The rest
   is lost where the caller does not wait for the first event. */
static const double late_loss = 0.75;

/* A broken pause aim costs a stream its worth only if nothing else breaks it
   too. */
static const double pause_loss = 0.8;

/* Time from the gateway to the engine's first step, and the steps between two
   events, in ms. */
static const double start_ms = 60.0;
static const double event_ms = 50.0;
/* Width over which a pause near its aim is counted in part, in ms. */
static const double pause_spread_ms = 100.0;
/* Spread of the first event around its estimate, as a share of the aim. */
static const double first_spread = 0.15;

/* Worth of a millisecond of an engine whose time is all taken: what a prompt
   of 260,000 tokens, the usual length of the users' longest kind, is worth a
   millisecond of reading. It is that dear where each engine has so much to
   read, in ms: a pass full of reading. */
static const double full_engine_ms_worth = 0.004;
static const double full_reading_ms = 500.0;

/* Small terms that order endpoints that are otherwise alike, in units of
   worth. */
static const double jitter = 0.001;
static const double other_centre = 0.004;
static const double reading_per_ms = 1e-4;
static const double reading_long_share = 0.3;
static const double pack_gain = 0.01;
static const double unpack_cost = 0.08;
static const double home_cost = 0.025; /* for each gateway */
static const double max_home_cost = 0.6;
static const double crowd_cost = 0.02;
static const double helper_cost = 0.03;
/* Shares of an engine's memory: that a prompt at one engine may take, and that
   a part of a larger one may take beside what runs there. */
static const double single_memory = 0.95;
static const double part_memory = 0.55;

/* Terms that outweigh the worth of most prompts. */
static const double no_slot_cost = 3.0;
static const double no_memory_cost = 4.0;

/* Plain calls: each one in progress, and another data centre, in ms. */
static const double plain_call_ms = 10.0;
static const double plain_centre_ms = 6.0;

struct candidate {
    struct endpoint *endpoint;
    struct endpoint_load load;
    double cost;
};

double
placement_worth(uint64_t prompt_tokens)
{
    return worth_at_base *
           pow((double)prompt_tokens / worth_base_tokens, worth_exponent);
}

static double
lateness(double expected_ms, double aim_ms)
{
    double spread_ms = MAX(first_spread * aim_ms, 1.0);

    return 1.0 / (1.0 + exp((aim_ms - expected_ms) / spread_ms));
}

/* Worth of the streams there whose pause aim is broken by a pass that reads so
   long. */
static double
broken_pauses(const struct placement_request *request,
              const struct endpoint_load *load, double read_ms)
{
    double lost = 0.0;

    for (uint32_t c = 0; c < request->service->pause_class_count; c++) {
        double over_ms =
            read_ms + event_ms - (double)request->service->pause_aims_ms[c];

        if (over_ms > 0.0) {
            lost += load->worth[c] * late_loss * pause_loss *
                    MIN(1.0, over_ms / pause_spread_ms);
        }
    }
    return lost;
}

/* What one more read of that length breaks beyond what waits there already:
   one pass reads all of it. */
static double
more_broken_pauses(const struct placement_request *request,
                   const struct endpoint_load *load, double read_ms)
{
    return broken_pauses(request, load, load->reading_ms + read_ms) -
           broken_pauses(request, load, load->reading_ms);
}

static double
crowding(const struct placement_request *request,
         const struct endpoint_load *load)
{
    uint32_t packed =
        request->service->engine.slots * PACKED_EIGHTHS / EIGHTHS;

    if (request->pause_class > 0) {
        return crowd_cost * load->requests;
    }
    if (load->requests < packed) {
        return -pack_gain * MIN(load->streams[0], packed);
    }
    return unpack_cost * (load->requests - packed + 1);
}

/* Each gateway prefers other engines, by rendezvous hashing: what it packs is
   then mostly its own, which it knows without delay. In [0, 1). */
static double
distance(const char *gateway, const char *endpoint)
{
    XXH64_hash_t seed = XXH64(gateway, strlen(gateway), 0);

    return (double)(XXH64(endpoint, strlen(endpoint), seed) >> 11) /
           (double)(1ULL << 53);
}

static bool
is_near(const struct placement_request *request,
        const struct endpoint *endpoint)
{
    return strcmp(endpoint->data_centre, request->data_centre) == 0;
}

/* What a prompt costs the others at an engine that reads read_ms of it. */
static double
cost_at(const struct placement_request *request,
        const struct candidate *candidate, double read_ms,
        uint64_t memory_tokens)
{
    const struct endpoint_load *load = &candidate->load;
    double cost = more_broken_pauses(request, load, read_ms);

    cost += load->reading_ms * reading_per_ms *
            (request->pause_class == 0 ? 1.0 : reading_long_share);
    cost += crowding(request, load);
    if (!is_near(request, candidate->endpoint)) {
        cost += other_centre;
    }
    cost += MIN(home_cost * request->gateways, max_home_cost) *
            distance(request->gateway, candidate->endpoint->id);
    if (load->requests >= request->service->engine.slots) {
        cost += no_slot_cost *
                (load->requests - request->service->engine.slots + 1);
    }
    if (load->tokens + memory_tokens >
        request->service->engine.memory_tokens) {
        cost += no_memory_cost;
    }
    return cost;
}

/* Until an engine is at a new prompt's first token but for reading it. */
static double
wait_ms_at(const struct placement_request *request,
           const struct candidate *candidate)
{
    const struct endpoint_load *load = &candidate->load;
    const struct engine_model *engine = &request->service->engine;
    double wait_ms = load->reading_ms;

    if (load->requests >= engine->slots) {
        wait_ms += engine_model_slot_ms(engine) *
                   (load->requests - engine->slots + 1);
    }
    return wait_ms;
}

static double
own_loss(const struct placement_request *request, double first_ms)
{
    return request->worth * late_loss *
           lateness(first_ms, (double)request->first_aim_ms);
}

static gint
compare_costs(gconstpointer a, gconstpointer b)
{
    const struct candidate *first = a;
    const struct candidate *second = b;

    if (first->cost == second->cost) {
        return 0;
    }
    return first->cost < second->cost ? -1 : 1;
}

uint32_t
placement_memory_engines(const struct engine_model *engine, uint64_t tokens)
{
    double single = (double)engine->memory_tokens * single_memory;
    double part = (double)engine->memory_tokens * part_memory;

    if ((double)tokens <= single || part <= 0.0) {
        return 1;
    }
    return (uint32_t)ceil((double)tokens / part);
}

static uint32_t
memory_engines(const struct placement_request *request)
{
    return placement_memory_engines(&request->service->engine,
                                    request->prompt_tokens +
                                        request->output_tokens);
}

static uint64_t
part_tokens(const struct placement_request *request)
{
    return (request->prompt_tokens + request->output_tokens) /
           memory_engines(request);
}

/* The best set of so many engines. Returns what is lost with it. */
static double
best_of(const struct placement_request *request, GArray *candidates,
        uint32_t engines, GRand *random, double *first_ms)
{
    double read_ms = engine_model_read_ms(&request->service->engine,
                                          request->prompt_tokens, engines);
    /* All of it stays at the engine that answers, unless others hold parts. */
    uint64_t memory_tokens = part_tokens(request);
    uint32_t holders = memory_engines(request) - 1;
    double lost = helper_cost * (engines - 1);
    double wait_ms = 0.0;

    for (guint i = 0; i < candidates->len; i++) {
        struct candidate *candidate =
            &g_array_index(candidates, struct candidate, i);

        candidate->cost =
            cost_at(request, candidate, read_ms, memory_tokens) +
            own_loss(request,
                     start_ms + read_ms + wait_ms_at(request, candidate)) +
            jitter * g_rand_double(random);
    }
    g_array_sort(candidates, compare_costs);
    for (uint32_t i = 0; i < engines; i++) {
        const struct candidate *candidate =
            &g_array_index(candidates, struct candidate, i);

        lost += cost_at(request, candidate, read_ms,
                        i <= holders ? memory_tokens : 0);
        wait_ms = MAX(wait_ms, wait_ms_at(request, candidate));
    }
    *first_ms = start_ms + wait_ms + read_ms;
    return lost + own_loss(request, *first_ms);
}

static void
take_first(const GArray *candidates, uint32_t count,
           struct placement *placement)
{
    placement->count = count;
    for (uint32_t i = 0; i < count; i++) {
        placement->engines[i] =
            g_array_index(candidates, struct candidate, i).endpoint;
    }
}

static void
choose_engines(const struct placement_request *request, GArray *candidates,
               GRand *random, struct placement *placement)
{
    static const uint32_t counts[] = {1, 2, 3, 4, 6, MAX_ENGINES};
    uint32_t needed = memory_engines(request);
    double least = INFINITY;

    placement->holders = needed - 1;
    placement->part_tokens = part_tokens(request);

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        double lost;
        double first_ms;

        if (counts[i] > candidates->len ||
            (counts[i] > 1 && request->prompt_tokens < SPLIT_TOKENS)) {
            break;
        }
        if (counts[i] < needed) {
            continue;
        }
        lost = best_of(request, candidates, counts[i], random, &first_ms);
        if (lost < least) {
            least = lost;
            placement->first_ms = first_ms;
            take_first(candidates, counts[i], placement);
        }
    }
}

/* What an engine has left to read, in the mean. */
static double
mean_reading_ms(const GArray *candidates)
{
    double reading_ms = 0.0;

    for (guint i = 0; i < candidates->len; i++) {
        reading_ms +=
            g_array_index(candidates, struct candidate, i).load.reading_ms;
    }
    return reading_ms / candidates->len;
}

/* A prompt that takes more engine time than it is worth is not placed while
   there is other work: reading grows with the square of its length. Returns
   the time until it would be placed if nothing else came, late then; 0: now.
   */
static double
dear_ms(const struct placement_request *request, const GArray *candidates,
        double first_ms)
{
    double price =
        full_engine_ms_worth * engine_model_read_ms(&request->service->engine,
                                                    request->prompt_tokens, 1);
    double reading_ms = mean_reading_ms(candidates);
    double gained = request->worth - own_loss(request, first_ms);
    double late = request->worth * (1.0 - late_loss);

    if (gained >= price * MIN(1.0, reading_ms / full_reading_ms)) {
        return 0.0;
    }
    return MAX(reading_ms - full_reading_ms * MIN(1.0, late / price), 1.0);
}

static void
choose_plain(const struct placement_request *request, GArray *candidates,
             GRand *random, struct placement *placement)
{
    for (guint i = 0; i < candidates->len; i++) {
        struct candidate *candidate =
            &g_array_index(candidates, struct candidate, i);

        candidate->cost =
            candidate->load.requests * plain_call_ms + g_rand_double(random);
        if (!is_near(request, candidate->endpoint)) {
            candidate->cost += plain_centre_ms;
        }
    }
    g_array_sort(candidates, compare_costs);
    take_first(candidates, 1, placement);
}

void
placement_choose(const struct placement_request *request,
                 const GPtrArray *candidates, uint64_t now_ms, GRand *random,
                 struct placement *placement)
{
    GArray *list = g_array_sized_new(FALSE, TRUE, sizeof(struct candidate),
                                     candidates->len);

    memset(placement, 0, sizeof(*placement));
    for (guint i = 0; i < candidates->len; i++) {
        struct candidate candidate = {.endpoint =
                                          g_ptr_array_index(candidates, i)};

        endpoint_load(candidate.endpoint, now_ms, &candidate.load);
        g_array_append_val(list, candidate);
    }
    if (list->len > 0) {
        if (request->service->has_engine && request->prompt_tokens > 0) {
            choose_engines(request, list, random, placement);
            placement->dear_ms = dear_ms(request, list, placement->first_ms);
        }
        else {
            choose_plain(request, list, random, placement);
        }
    }
    g_array_free(list, TRUE);
}
