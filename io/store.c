#include "io/store.h"

#include <jansson.h>
#include <stdatomic.h>
#include <string.h>

#include "core/members.h"
#include "io/http_call.h"

enum {
    CONNECT_TIMEOUT_S = 2,
    READ_TIMEOUT_MARGIN_S = 3,
    /* A long response has so many times the margin of one pause. */
    MAX_MARGINS_PER_CALL = 3,
    /* Two items of 4 MB, which base64 makes a third longer. With 4 MiB a watch
       failed for ever once the changes since its revision exceeded that, such
       as six versions of a configuration of 1,840 routes. */
    MAX_RESPONSE_BYTES = 16 * 1024 * 1024,
    MS_PER_S = 1000,
    HTTP_OK = 200,
    HTTP_NOT_FOUND = 404,
};

/* Modification index of a list of instances. */
#define INDEX_HEADER "X-Consul-Index"

struct store {
    struct http_session *reads;
    struct http_session *watches;
    struct http_session *writes; /* without reuse, so that nothing is resent */
    uint32_t connect_s;
    uint32_t read_margin_s;
    uint64_t number; /* see store_number() */
};

static _Atomic uint64_t calls_made;

GQuark
store_error_quark(void)
{
    return g_quark_from_static_string("store-error");
}

uint64_t
store_call_count(void)
{
    return atomic_load(&calls_made);
}

struct store *
store_create(const char *ip, uint16_t port)
{
    struct store *store = g_new0(struct store, 1);

    store->reads = http_session_create(ip, port, true);
    store->watches = http_session_create(ip, port, true);
    store->writes = http_session_create(ip, port, false);
    store_set_timeouts(store, CONNECT_TIMEOUT_S, READ_TIMEOUT_MARGIN_S);
    return store;
}

void
store_destroy(struct store *store)
{
    if (store == NULL) {
        return;
    }
    http_session_destroy(store->reads);
    http_session_destroy(store->watches);
    http_session_destroy(store->writes);
    g_free(store);
}

static struct http_session *
read_session(const struct store *store, uint32_t wait_ms)
{
    return wait_ms == 0 ? store->reads : store->watches;
}

void
store_set_timeouts(struct store *store, uint32_t connect_s,
                   uint32_t read_margin_s)
{
    store->connect_s = connect_s;
    store->read_margin_s = read_margin_s;
}

static struct http_session *
call_session(const struct store *store, const struct store_call *call)
{
    if (strcmp(call->method, "GET") != 0) {
        return store->writes;
    }
    return read_session(store, call->wait_ms);
}

static enum store_error
error_code(const GError *failure)
{
    switch (failure->code) {
    case HTTP_ERROR_NOT_SENT:
        return STORE_ERROR_UNAVAILABLE;
    case HTTP_ERROR_RESPONSE_TOO_LONG:
        return STORE_ERROR_TOO_LONG;
    default:
        return STORE_ERROR_UNKNOWN;
    }
}

uint32_t
store_call(struct store *store, const struct store_call *call,
           GByteArray *response, GError **error)
{
    struct http_request request = {.method = call->method,
                                   .path = call->path,
                                   .content_type = call->content_type,
                                   .body = call->bytes,
                                   .body_bytes = call->count,
                                   .number_header = call->number_header};
    struct http_session *session = call_session(store, call);
    uint32_t wait_s = call->wait_ms / MS_PER_S;
    GError *failure = NULL;
    uint32_t status;

    atomic_fetch_add(&calls_made, 1);
    http_session_set_timeouts(
        session, store->connect_s, wait_s + store->read_margin_s,
        wait_s + store->read_margin_s * MAX_MARGINS_PER_CALL);
    status = http_call_fetch(session, &request, response, MAX_RESPONSE_BYTES,
                             &failure);
    store->number = http_session_number(session);
    if (failure != NULL) {
        g_set_error(error, store_error_quark(), error_code(failure), "%s",
                    failure->message);
        g_error_free(failure);
        return 0;
    }
    return status;
}

uint64_t
store_number(const struct store *store)
{
    return store->number;
}

static uint32_t
call_service(struct store *store, const struct store_call *request,
             GByteArray *response, GError **error)
{
    uint32_t status = store_call(store, request, response, error);

    if (status != 0 && status != HTTP_OK && status != HTTP_NOT_FOUND) {
        g_set_error(error, store_error_quark(), STORE_ERROR_UNKNOWN,
                    "the key-value service responded with status %u", status);
        return 0;
    }
    return status;
}

static json_t *
parse_response(const GByteArray *response, GError **error)
{
    json_t *json = json_loadb((const char *)response->data, response->len,
                              JSON_DECODE_ANY, NULL);

    if (json == NULL) {
        g_set_error(error, store_error_quark(), STORE_ERROR_UNKNOWN,
                    "the key-value service's response is not JSON");
    }
    return json;
}

static bool
decode_value(json_t *json, struct store_value *out, GError **error)
{
    const char *encoded;
    json_int_t index;
    guchar *bytes;
    gsize count;

    if (json_unpack(json, "[{s:s, s:I}]", "Value", &encoded, "ModifyIndex",
                    &index) != 0) {
        g_set_error(error, store_error_quark(), STORE_ERROR_UNKNOWN,
                    "the key-value service's response is not a value");
        return false;
    }
    bytes = g_base64_decode(encoded, &count);
    out->bytes = g_strndup((const char *)bytes, count);
    out->count = count;
    out->index = (uint64_t)index;
    g_free(bytes);
    return true;
}

bool
store_get(struct store *store, const char *key, uint64_t after_index,
          uint32_t wait_ms, struct store_value *out, GError **error)
{
    GByteArray *response = g_byte_array_new();
    json_t *json = NULL;
    bool ok = false;
    uint32_t status;
    char *path = wait_ms == 0
                     ? g_strdup_printf("/v1/kv/%s", key)
                     : g_strdup_printf("/v1/kv/%s?index=%" G_GUINT64_FORMAT
                                       "&wait=%ums",
                                       key, after_index, wait_ms);

    memset(out, 0, sizeof(*out));
    status =
        call_service(store,
                     &(struct store_call){
                         .method = "GET", .path = path, .wait_ms = wait_ms},
                     response, error);
    if (status == HTTP_NOT_FOUND) {
        ok = true;
    }
    else if (status == HTTP_OK) {
        json = parse_response(response, error);
        ok = json != NULL && decode_value(json, out, error);
    }
    json_decref(json);
    g_free(path);
    g_byte_array_unref(response);
    return ok;
}

void
store_value_clear(struct store_value *value)
{
    g_free(value->bytes);
    memset(value, 0, sizeof(*value));
}

enum store_write_result
store_put(struct store *store, const char *key, const char *bytes,
          size_t count, uint64_t index, GError **error)
{
    GByteArray *response = g_byte_array_new();
    char *path =
        g_strdup_printf("/v1/kv/%s?cas=%" G_GUINT64_FORMAT, key, index);
    enum store_write_result result = STORE_FAILED;
    uint32_t status = call_service(
        store,
        &(struct store_call){
            .method = "PUT", .path = path, .bytes = bytes, .count = count},
        response, error);
    json_t *json = NULL;

    if (status == HTTP_OK &&
        (json = parse_response(response, error)) != NULL) {
        result = json_is_true(json) ? STORE_WRITTEN : STORE_CONFLICT;
    }
    else if (status == HTTP_NOT_FOUND) {
        g_set_error(error, store_error_quark(), STORE_ERROR_UNAVAILABLE,
                    "the key-value service does not know the path");
    }
    json_decref(json);
    g_free(path);
    g_byte_array_unref(response);
    return result;
}

static bool
decode_member(json_t *json, struct member *out)
{
    const char *id;
    const char *ip;
    const char *data_centre;
    const char *status;
    int port;

    if (json_unpack(json, "{s:{s:s, s:s, s:i, s:{s:s}}, s:[{s:s}]}", "Service",
                    "ID", &id, "Address", &ip, "Port", &port, "Meta",
                    "data_centre", &data_centre, "Checks", "Status",
                    &status) != 0 ||
        port <= 0 || port > UINT16_MAX) {
        return false;
    }
    out->instance = g_strdup(id);
    out->ip = g_strdup(ip);
    out->port = (uint16_t)port;
    out->data_centre = g_strdup(data_centre);
    out->draining = strcmp(status, "passing") != 0;
    return true;
}

static void
decode_members(json_t *json, struct member **list, size_t *count)
{
    size_t i;
    json_t *instance;

    *count = 0;
    *list = g_new0(struct member, json_array_size(json) + 1);
    json_array_foreach(json, i, instance)
    {
        if (decode_member(instance, &(*list)[*count])) {
            (*count)++;
        }
    }
}

bool
store_get_members(struct store *store, const char *service,
                  uint64_t after_index, uint32_t wait_ms, struct member **list,
                  size_t *count, uint64_t *index, GError **error)
{
    GByteArray *response = g_byte_array_new();
    char *path = g_strdup_printf(
        "/v1/health/service/%s?index=%" G_GUINT64_FORMAT "&wait=%ums", service,
        after_index, wait_ms);
    json_t *json = NULL;
    bool ok = false;
    uint32_t status =
        call_service(store,
                     &(struct store_call){.method = "GET",
                                          .path = path,
                                          .wait_ms = wait_ms,
                                          .number_header = INDEX_HEADER},
                     response, error);

    if (status == HTTP_OK &&
        (json = parse_response(response, error)) != NULL) {
        decode_members(json, list, count);
        *index =
            store_number(store) != HTTP_NO_NUMBER ? store_number(store) : 0;
        ok = true;
    }
    else if (status == HTTP_NOT_FOUND) {
        g_set_error(error, store_error_quark(), STORE_ERROR_UNKNOWN,
                    "the platform has no list of instances of this service");
    }
    json_decref(json);
    g_free(path);
    g_byte_array_unref(response);
    return ok;
}

void
store_members_free(struct member *list, size_t count)
{
    for (size_t i = 0; list != NULL && i < count; i++) {
        g_free(list[i].instance);
        g_free(list[i].ip);
        g_free(list[i].data_centre);
    }
    g_free(list);
}
