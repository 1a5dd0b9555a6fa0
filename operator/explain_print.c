#include "operator/explain_print.h"

#include <stdio.h>
#include <string.h>

static const char *
text_of(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));

    return text != NULL ? text : "-";
}

static double
number_of(const json_t *object, const char *name)
{
    return json_number_value(json_object_get(object, name));
}

static void
print_age(const json_t *object, const char *name)
{
    if (json_is_number(json_object_get(object, name))) {
        printf("%.0f ms old", number_of(object, name));
    }
    else {
        printf("of unknown age");
    }
}

static void
print_outcome(const json_t *answer)
{
    static const struct {
        const char *outcome;
        const char *text;
    } texts[] = {
        {"place", "would be placed"},
        {"split", "would be split over several engines"},
        {"wait", "would wait at the gateway"},
        {"refuse", "would be refused"},
        {"no_route", "no route matches"},
        {"unknown_account", "the client account is not accepted"},
    };
    const char *outcome = text_of(answer, "outcome");
    const char *text = outcome;

    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        if (strcmp(outcome, texts[i].outcome) == 0) {
            text = texts[i].text;
        }
    }
    printf("  %s", text);
    if (json_object_get(answer, "status") != NULL) {
        printf(", with status %.0f", number_of(answer, "status"));
    }
    if (text_of(answer, "why")[0] != '\0') {
        printf(": %s", text_of(answer, "why"));
    }
    if (json_object_get(answer, "expected_wait_ms") != NULL) {
        printf(" (come back in %.0f ms)",
               number_of(answer, "expected_wait_ms"));
    }
    printf("\n");
}

static void
print_request(const json_t *answer)
{
    const json_t *route = json_object_get(answer, "route");

    if (route == NULL) {
        return;
    }
    printf("  route %s, account %s, rank %.2f, service %s, %.0f ms left\n",
           text_of(route, "name"), text_of(answer, "account"),
           number_of(answer, "rank"), text_of(answer, "service"),
           number_of(answer, "time_left_ms"));
}

static void
print_placement(const json_t *answer)
{
    const json_t *placement = json_object_get(answer, "placement");
    const json_t *room = json_object_get(answer, "room");
    const json_t *endpoint;
    size_t i;

    if (placement == NULL) {
        return;
    }
    printf("  endpoints:");
    json_array_foreach(json_object_get(placement, "endpoints"), i, endpoint)
    {
        printf(" %s", json_string_value(endpoint));
    }
    printf("\n");
    if (room != NULL) {
        printf("  first event in %.0f ms of %.0f; value %.2f, loss %.2f "
               "(own %.2f); %.0f%% of engines busy\n",
               number_of(placement, "first_event_ms"),
               number_of(room, "target_left_ms"), number_of(room, "value"),
               number_of(placement, "loss"), number_of(placement, "own_loss"),
               number_of(room, "busy_share") * 100.0);
    }
}

static void
print_endpoint(const json_t *endpoint)
{
    printf("    %s (%s): %.0f requests, %.0f slots", text_of(endpoint, "id"),
           text_of(endpoint, "data_centre"), number_of(endpoint, "requests"),
           number_of(endpoint, "slots"));
    if (json_object_get(endpoint, "kv_tokens") != NULL) {
        printf(", %.0f ms prefill, %.0f of %.0f tokens",
               number_of(endpoint, "prefill_ms"),
               number_of(endpoint, "tokens"),
               number_of(endpoint, "kv_tokens"));
    }
    if (json_object_get(endpoint, "reported_age_ms") != NULL) {
        printf(", its report ");
        print_age(endpoint, "reported_age_ms");
    }
    if (strcmp(text_of(endpoint, "state"), "ok") != 0) {
        printf(", %s", text_of(endpoint, "state"));
    }
    if (json_object_get(endpoint, "left_out_ms") != NULL) {
        printf(" for %.0f ms", number_of(endpoint, "left_out_ms"));
    }
    printf("\n");
}

static void
print_endpoints(const json_t *answer, const char *name, const char *title)
{
    const json_t *list = json_object_get(answer, name);
    const json_t *endpoint;
    size_t i;

    if (json_array_size(list) == 0) {
        return;
    }
    printf("  %s:\n", title);
    json_array_foreach(list, i, endpoint)
    {
        print_endpoint(endpoint);
    }
}

void
explain_print(const char *address, const json_t *answer)
{
    printf("%s at %s (%s), configuration %.0f, state of the store ",
           text_of(answer, "gateway"), address, text_of(answer, "data_centre"),
           number_of(answer, "config_version"));
    print_age(answer, "store_age_ms");
    printf("\n");
    print_outcome(answer);
    print_request(answer);
    print_placement(answer);
    print_endpoints(answer, "candidates", "candidates");
    print_endpoints(answer, "left_out", "left out");
    if (number_of(answer, "not_listed") > 0.0) {
        printf("  and %.0f more endpoints\n", number_of(answer, "not_listed"));
    }
}
