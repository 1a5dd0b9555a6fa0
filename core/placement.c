#include "core/placement.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/endpoints.h"

enum {
    /* Only prompts of at least this length are split. One engine prefills a
       shorter prompt well within the smallest gap target. */
    MIN_SPLIT_TOKENS = 15000,
    MAX_SPLIT_ENGINES = 8, /* that share one prompt */
    /* Share of an engine's slots that packing fills. The remaining slots
       absorb prompts that other gateways place at the same moment. */
    PACKED_EIGHTHS = 7,
    EIGHTHS = 8,
};

/* Power law through the values that the users state: 1.3 at 5,000 tokens and
   24 at 182,000 tokens. */
static const double value_at_base = 1.3;
static const double value_base_tokens = 5000.0;
static const double value_exponent = 0.81;

/* Share of its value that a late response loses, as the users state it. The
   rest is lost only if the caller stops waiting for the first event. */
static const double late_loss = 0.75;

/* Factor on the loss from a missed gap target. It is below 1 because some of
   the streams become late for another reason anyway. */
static const double gap_loss_factor = 0.8;

/* Time from the placement of a prompt until its engine starts to work on it,
   without the time in the engine's queue. */
static const double dispatch_ms = 60.0;
/* Time of the decoding steps between two events of a stream. These steps are
   one engine pass, and the pass also runs the waiting prefills. */
static const double event_interval_ms = 50.0;
/* The loss from a missed gap target grows linearly, from this time before the
   target on, over this range: other gateways may place prompts in the same
   engine pass, which are not known here yet. */
static const double gap_margin_ms = 70.0;
static const double gap_spread_ms = 100.0;
/* Spread of the first event's time around its estimate, as a share of the
   target. */
static const double first_event_spread = 0.15;

/* An engine with more prefill than this counts as busy: a prompt that is
   placed there waits for it. */
static const double busy_prefill_ms = 60.0;

/* Small costs that order otherwise equal endpoints, in units of value. */
static const double tie_break_cost = 0.001; /* upper bound of a random cost */
static const double remote_cost = 0.004;
static const double backlog_cost_per_ms = 5e-4;
/* Factor on backlog_cost_per_ms for prompts above the smallest gap class. */
static const double large_gap_backlog_share = 0.3;
static const double packing_gain = 0.01;     /* per stream of gap class 0 */
static const double overpacking_cost = 0.08; /* per request beyond packing */
static const double affinity_cost = 0.025;   /* per gateway */
static const double max_affinity_cost = 0.6;
/* Least distances of engines that are not the gateway's own, in its data
   centre and in others; an own engine has 0, the farthest one 1. */
static const double local_distance = 0.02;
static const double remote_distance = 0.25;
static const double sharing_cost = 0.02; /* per request at the engine */
static const double helper_cost = 0.03;  /* per helper */
/* Delay by a part that overtakes a prompt from which on the prompt is taken to
   be late. */
static const double overtaking_delay_ms = 600.0;
/* A cold engine is slower for some seconds. More than the other small costs of
   an engine with a few streams, less than most prompts' value. */
static const double cold_cost = 0.2;
/* Largest share of an engine's KV memory that a whole prompt may take. */
static const double whole_prompt_memory_share = 0.95;
/* The same for a part of a larger prompt, which leaves room for the requests
   that run there. */
static const double prompt_part_memory_share = 0.55;

/* Costs that outweigh the value of most prompts. */
static const double no_slot_cost = 3.0; /* per request above the slots */
static const double no_memory_cost = 4.0;

/* Costs of a plain call, in ms: for each call in progress, and for another
   data centre. */
static const double plain_call_ms = 10.0;
static const double plain_remote_ms = 6.0;
static const double plain_cold_ms = 20.0;

struct candidate {
    struct endpoint *endpoint;
    struct endpoint_load load;
    bool is_cold;
    bool is_local;   /* in the gateway's data centre */
    double distance; /* in the gateway's order of preference, from 0 to 1 */
    double cost;
};

double
placement_prompt_value(uint64_t prompt_tokens)
{
    return value_at_base *
           pow((double)prompt_tokens / value_base_tokens, value_exponent);
}

static double
late_probability(double expected_ms, double target_ms)
{
    double spread_ms = MAX(first_event_spread * target_ms, 1.0);

    return 1.0 / (1.0 + exp((target_ms - expected_ms) / spread_ms));
}

/* Expected loss at running streams whose gap target is missed because one
   engine pass prefills for prefill_ms. */
static double
gap_loss(const struct placement_request *request,
         const struct endpoint_load *load, double prefill_ms)
{
    double lost = 0.0;

    for (uint32_t c = 0; c < request->service->gap_class_count; c++) {
        double over_ms = prefill_ms + event_interval_ms + gap_margin_ms -
                         (double)request->service->gap_targets_ms[c];

        if (over_ms > 0.0) {
            lost += load->value[c] * late_loss * gap_loss_factor *
                    MIN(1.0, over_ms / gap_spread_ms);
        }
    }
    return lost;
}

/* Loss that one more prefill adds to the loss from the prefills that wait
   already. One engine pass is assumed to run all of them. */
static double
added_gap_loss(const struct placement_request *request,
               const struct endpoint_load *load, double prefill_ms)
{
    return gap_loss(request, load, load->prefill_ms + prefill_ms) -
           gap_loss(request, load, load->prefill_ms);
}

static double
packing_cost(const struct placement_request *request,
             const struct endpoint_load *load)
{
    uint32_t packed =
        request->service->engine.slots * PACKED_EIGHTHS / EIGHTHS;

    if (request->gap_class > 0) {
        return sharing_cost * load->requests;
    }
    if (load->requests < packed) {
        return -packing_gain * MIN(load->streams[0], packed);
    }
    return overpacking_cost * (load->requests - packed + 1);
}

/* Rendezvous hash in [0, 1). */
static double
hash_distance(const char *gateway, const char *endpoint)
{
    XXH64_hash_t seed = XXH64(gateway, strlen(gateway), 0);

    return (double)(XXH64(endpoint, strlen(endpoint), seed) >> 11) /
           (double)(1ULL << 53);
}

/* Whether the engine at a place of the data centre's order is one of the
   gateway's own. With at least as many engines as gateways each engine belongs
   to one gateway, so that its load is known there without delay. */
static bool
is_own_engine(const struct placement_request *request, uint32_t index,
              uint32_t engines)
{
    uint64_t gateways = request->local_gateways;

    if (engines >= gateways) {
        return index * gateways / engines == request->local_rank;
    }
    return request->local_rank * (uint64_t)engines / gateways == index;
}

static gint
compare_ids(gconstpointer a, gconstpointer b)
{
    const struct candidate *first = a;
    const struct candidate *second = b;

    return strcmp(first->endpoint->id, second->endpoint->id);
}

/* Gives the gateway its order of preferred engines: its own first, then others
   of its data centre, then those of other ones. Most requests on an engine
   then come from one gateway, which knows their state without the delay of the
   peers' reports. */
static void
set_distances(const struct placement_request *request, GArray *candidates)
{
    uint32_t local = 0;
    uint32_t index = 0;

    g_array_sort(candidates, compare_ids);
    for (guint i = 0; i < candidates->len; i++) {
        struct candidate *candidate =
            &g_array_index(candidates, struct candidate, i);

        candidate->is_local = strcmp(candidate->endpoint->data_centre,
                                     request->data_centre) == 0;
        local += candidate->is_local ? 1 : 0;
    }
    for (guint i = 0; i < candidates->len; i++) {
        struct candidate *candidate =
            &g_array_index(candidates, struct candidate, i);
        double hash = hash_distance(request->gateway, candidate->endpoint->id);

        if (request->local_gateways == 0) {
            candidate->distance = hash;
        }
        else if (!candidate->is_local) {
            candidate->distance =
                remote_distance + (1.0 - remote_distance) * hash;
        }
        else if (is_own_engine(request, index++, local)) {
            candidate->distance = 0.0;
        }
        else {
            candidate->distance =
                local_distance + (remote_distance - local_distance) * hash;
        }
    }
}

/* Cost that a prompt imposes on other requests at an engine that prefills it
   for prefill_ms. */
static double
imposed_cost(const struct placement_request *request,
             const struct candidate *candidate, double prefill_ms,
             uint64_t memory_tokens)
{
    const struct endpoint_load *load = &candidate->load;
    double cost = added_gap_loss(request, load, prefill_ms);

    cost += load->prefill_ms * backlog_cost_per_ms *
            (request->gap_class == 0 ? 1.0 : large_gap_backlog_share);
    cost += packing_cost(request, load);
    if (candidate->is_cold) {
        cost += cold_cost;
    }
    if (!candidate->is_local) {
        cost += remote_cost;
    }
    cost += MIN(affinity_cost * request->gateway_count, max_affinity_cost) *
            candidate->distance;
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

/* Time that a new prompt waits at an engine before its own prefill. */
static double
queue_wait_ms(const struct placement_request *request,
              const struct candidate *candidate)
{
    const struct endpoint_load *load = &candidate->load;
    const struct engine_model *engine = &request->service->engine;
    double wait_ms = load->prefill_ms;

    if (load->requests >= engine->slots) {
        wait_ms += engine_model_slot_wait_ms(engine) *
                   (load->requests - engine->slots + 1);
    }
    return wait_ms;
}

/* Expected loss at the prompts that a helper's part overtakes. */
static double
overtaking_loss(const struct candidate *candidate, double prefill_ms)
{
    return candidate->load.unread_value * late_loss *
           MIN(1.0, prefill_ms / overtaking_delay_ms);
}

/* Value that the prompt itself is expected to lose if its first event comes
   after first_event_ms. */
static double
own_loss(const struct placement_request *request, double first_event_ms)
{
    return request->value * late_loss *
           late_probability(first_event_ms,
                            (double)request->first_event_target_ms);
}

static int
compare_costs(const void *a, const void *b)
{
    const struct candidate *first = a;
    const struct candidate *second = b;

    if (first->cost == second->cost) {
        return 0;
    }
    return first->cost < second->cost ? -1 : 1;
}

uint32_t
placement_min_engines(const struct engine_model *engine, uint64_t tokens)
{
    double single = (double)engine->memory_tokens * whole_prompt_memory_share;
    double part = (double)engine->memory_tokens * prompt_part_memory_share;

    if ((double)tokens <= single || part <= 0.0) {
        return 1;
    }
    return (uint32_t)ceil((double)tokens / part);
}

static uint32_t
min_engines(const struct placement_request *request)
{
    return placement_min_engines(&request->service->engine,
                                 request->prompt_tokens +
                                     request->output_tokens);
}

static uint64_t
part_tokens(const struct placement_request *request)
{
    return (request->prompt_tokens + request->output_tokens) /
           min_engines(request);
}

/* Moves the engine that answers at the least loss to the first place. */
static void
rank_first(const struct placement_request *request, GArray *candidates,
           double prefill_ms, GRand *random)
{
    struct candidate *all = &g_array_index(candidates, struct candidate, 0);
    guint best = 0;
    struct candidate first;

    for (guint i = 0; i < candidates->len; i++) {
        all[i].cost =
            imposed_cost(request, &all[i], prefill_ms, part_tokens(request)) +
            own_loss(request, dispatch_ms + prefill_ms +
                                  queue_wait_ms(request, &all[i])) +
            tie_break_cost * g_rand_double(random);
        best = all[i].cost < all[best].cost ? i : best;
    }
    first = all[best];
    all[best] = all[0];
    all[0] = first;
}

/* Sorts the candidates behind the first one by the loss as helpers. */
static void
rank_helpers(const struct placement_request *request, GArray *candidates,
             double prefill_ms, GRand *random)
{
    struct candidate *all = &g_array_index(candidates, struct candidate, 0);

    for (guint i = 1; i < candidates->len; i++) {
        all[i].cost =
            imposed_cost(request, &all[i], prefill_ms, part_tokens(request)) +
            overtaking_loss(&all[i], prefill_ms) +
            tie_break_cost * g_rand_double(random);
    }
    qsort(all + 1, candidates->len - 1, sizeof(*all), compare_costs);
}

/* Sorts the candidates so that the best set of that many engines comes first.
   The queue of the first engine alone counts for the first event, since
   helpers run their parts before all else. Returns the expected loss with this
   set, and in *first_event_ms the expected time to the first event. */
static double
rank_candidates(const struct placement_request *request, GArray *candidates,
                uint32_t engines, GRand *random, double *first_event_ms)
{
    double prefill_ms = engine_model_prefill_ms(
        &request->service->engine, request->prompt_tokens, engines);
    const struct candidate *all =
        &g_array_index(candidates, struct candidate, 0);
    /* The answering engine holds the whole KV cache unless helpers hold
       parts. */
    uint64_t memory_tokens = part_tokens(request);
    uint32_t holders = min_engines(request) - 1;
    double lost = helper_cost * (engines - 1);
    double wait_ms;

    rank_first(request, candidates, prefill_ms, random);
    wait_ms = queue_wait_ms(request, &all[0]);
    lost += imposed_cost(request, &all[0], prefill_ms, memory_tokens);
    if (engines > 1) {
        rank_helpers(request, candidates, prefill_ms, random);
    }
    for (uint32_t i = 1; i < engines; i++) {
        lost += imposed_cost(request, &all[i], prefill_ms,
                             i <= holders ? memory_tokens : 0) +
                overtaking_loss(&all[i], prefill_ms);
    }
    *first_event_ms = dispatch_ms + wait_ms + prefill_ms;
    return lost + own_loss(request, *first_event_ms);
}

static void
use_first(const GArray *candidates, uint32_t count,
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
    static const uint32_t counts[] = {1, 2, 3, 4, 6, MAX_SPLIT_ENGINES};
    uint32_t needed = min_engines(request);
    double least = INFINITY;

    placement->holders = needed - 1;
    placement->part_tokens = part_tokens(request);

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        double lost;
        double first_event_ms;

        if (counts[i] > candidates->len ||
            (counts[i] > 1 && request->prompt_tokens < MIN_SPLIT_TOKENS)) {
            break;
        }
        if (counts[i] < needed) {
            continue;
        }
        lost = rank_candidates(request, candidates, counts[i], random,
                               &first_event_ms);
        if (lost < least) {
            least = lost;
            placement->loss = lost;
            placement->own_loss = own_loss(request, first_event_ms);
            placement->first_event_ms = first_event_ms;
            use_first(candidates, counts[i], placement);
        }
    }
}

static void
measure_load(const GArray *candidates, struct placement *placement)
{
    for (guint i = 0; i < candidates->len; i++) {
        double prefill_ms =
            g_array_index(candidates, struct candidate, i).load.prefill_ms;

        placement->backlog_ms += prefill_ms / candidates->len;
        if (prefill_ms > busy_prefill_ms) {
            placement->busy_share += 1.0 / candidates->len;
        }
    }
}

static void
choose_plain(GArray *candidates, GRand *random, struct placement *placement)
{
    for (guint i = 0; i < candidates->len; i++) {
        struct candidate *candidate =
            &g_array_index(candidates, struct candidate, i);

        candidate->cost =
            candidate->load.requests * plain_call_ms + g_rand_double(random);
        if (!candidate->is_local) {
            candidate->cost += plain_remote_ms;
        }
        if (candidate->is_cold) {
            candidate->cost += plain_cold_ms;
        }
    }
    g_array_sort(candidates, compare_costs);
    use_first(candidates, 1, placement);
}

/* Candidates that may not be used still have their place in the gateway's
   order of preference, so that it does not change with each limit. */
static void
remove_unusable(const struct placement_request *request, GArray *candidates)
{
    if (request->may_use == NULL) {
        return;
    }
    for (guint i = candidates->len; i > 0; i--) {
        const struct endpoint *endpoint =
            g_array_index(candidates, struct candidate, i - 1).endpoint;

        if (!request->may_use(request->may_use_data, endpoint)) {
            g_array_remove_index(candidates, i - 1);
        }
    }
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
        candidate.is_cold = now_ms < endpoint_cold_until_ms(candidate.endpoint,
                                                            request->service);
        g_array_append_val(list, candidate);
    }
    set_distances(request, list);
    remove_unusable(request, list);
    if (list->len > 0) {
        if (request->service->has_engine && request->prompt_tokens > 0) {
            choose_engines(request, list, random, placement);
            measure_load(list, placement);
        }
        else {
            choose_plain(list, random, placement);
        }
    }
    g_array_free(list, TRUE);
}
