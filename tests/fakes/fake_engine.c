/* Fake of a model engine. It serves streams with continuous batching, prefills
   the prompt with the lowest X-Priority first in small steps, holds KV memory
   for each stream, caches prompt prefixes, and generates one token of each
   stream per interval. The response depends only on the request.
   POST /v1/memory/holds holds the memory of {"tokens": N} until it is
   cancelled, as a stream without tokens; DELETE /v1/streams/ID cancels a
   stream; GET /v1/streams lists them; GET /control/stats returns the held
   memory and counters; /control/truncate?after=N ends the next stream after N
   tokens, as a complete response.
   With --crash-byte N the process exits at the first token of a prompt that
   begins with that character. */

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "core/message.h"
#include "entry/prompt.h"
#include "tests/fakes/fake_server.h"

enum {
    PREFILL_STEP_MS = 2,
    US_PER_MS = 1000,
    EVENT_BYTES = 256
};

enum {
    ARG_RATE,     /* prefilled tokens per second */
    ARG_MEMORY,   /* tokens */
    ARG_TOKEN_US, /* interval between the tokens of a stream */
    ARG_CACHE,    /* tokens */
    ARG_CRASH,    /* first character of prompts that crash this; 0: none */
    ARG_COUNT
};

static const char *const argument_names[ARG_COUNT] = {
    "prefill-rate", "memory-tokens", "token-us", "cache-tokens", "crash-byte"};

struct stream {
    char *id;
    uint64_t priority;
    uint64_t hash; /* of the request body; seed of the tokens */
    uint64_t memory_tokens;
    uint64_t prefill_left_tokens;
    uint64_t max_tokens;
    uint64_t sent_tokens;
    bool is_single_body; /* the response has a single body */
    bool cancelled;
    bool crashes;
    bool done_sent;
    uint64_t truncate_after_tokens;
    char event[EVENT_BYTES]; /* the event that is being sent */
    size_t event_bytes;
    size_t event_sent;
    struct prompt prompt;
};

struct engine {
    uint64_t arguments[ARG_COUNT];
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GPtrArray *streams;
    GHashTable *cached; /* hashes of prompt prefixes */
    uint64_t held_tokens;
    uint64_t refused;
    uint64_t started;
    uint64_t cancelled;
    uint64_t cached_tokens;
    uint64_t prefilled_tokens;
    uint64_t truncate_after_tokens;
};

static struct engine engine = {
    .arguments = {[ARG_RATE] = 20000,
                  [ARG_MEMORY] = 1200000,
                  [ARG_TOKEN_US] = 1000,
                  [ARG_CACHE] = 1000000},
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .changed = PTHREAD_COND_INITIALIZER,
};

static struct stream *
next_to_prefill(void)
{
    struct stream *best = NULL;

    for (guint i = 0; i < engine.streams->len; i++) {
        struct stream *stream = g_ptr_array_index(engine.streams, i);

        if (stream->prefill_left_tokens > 0 && !stream->cancelled &&
            (best == NULL || stream->priority < best->priority)) {
            best = stream;
        }
    }
    return best;
}

/* A cached prefix counts as 1000 tokens. A full cache is emptied. */
static void
cache_prefixes(const struct stream *stream)
{
    if (g_hash_table_size(engine.cached) >
        engine.arguments[ARG_CACHE] / 1000) {
        g_hash_table_remove_all(engine.cached);
    }
    for (uint32_t i = 0; i < stream->prompt.prefix_count; i++) {
        g_hash_table_add(engine.cached,
                         GSIZE_TO_POINTER(stream->prompt.prefixes[i]));
    }
}

static void
advance_prefill(uint64_t tokens)
{
    struct stream *stream;

    engine.prefilled_tokens += tokens;
    while (tokens > 0 && (stream = next_to_prefill()) != NULL) {
        uint64_t part = MIN(tokens, stream->prefill_left_tokens);

        stream->prefill_left_tokens -= part;
        tokens -= part;
        if (stream->prefill_left_tokens == 0) {
            cache_prefixes(stream);
            pthread_cond_broadcast(&engine.changed);
        }
    }
}

static void *
run_prefill(void *data)
{
    uint64_t last_ms = fake_clock_ms();

    (void)data;
    for (;;) {
        uint64_t now_ms;

        usleep(PREFILL_STEP_MS * US_PER_MS);
        now_ms = fake_clock_ms();
        pthread_mutex_lock(&engine.lock);
        advance_prefill(engine.arguments[ARG_RATE] * (now_ms - last_ms) /
                        1000);
        pthread_mutex_unlock(&engine.lock);
        last_ms = now_ms;
    }
    return NULL;
}

static void
free_stream(void *data)
{
    struct stream *stream = data;

    pthread_mutex_lock(&engine.lock);
    engine.held_tokens -= stream->memory_tokens;
    g_ptr_array_remove_fast(engine.streams, stream);
    pthread_mutex_unlock(&engine.lock);
    prompt_clear(&stream->prompt);
    g_free(stream->id);
    g_free(stream);
}

static bool
wait_for_prefill(struct stream *stream)
{
    bool cancelled;

    pthread_mutex_lock(&engine.lock);
    while (stream->prefill_left_tokens > 0 && !stream->cancelled) {
        pthread_cond_wait(&engine.changed, &engine.lock);
    }
    cancelled = stream->cancelled;
    pthread_mutex_unlock(&engine.lock);
    return !cancelled;
}

/* Called before the first token. */
static void
crash_if_asked(const struct stream *stream)
{
    if (stream->crashes) {
        _exit(1);
    }
}

static void
next_event(struct stream *stream)
{
    uint64_t token;

    stream->event_sent = 0;
    if (stream->sent_tokens == stream->max_tokens) {
        stream->done_sent = true;
        stream->event_bytes = (size_t)snprintf(
            stream->event, sizeof(stream->event), "data: [DONE]\n\n");
        return;
    }
    token =
        XXH64(&stream->sent_tokens, sizeof(stream->sent_tokens), stream->hash);
    stream->sent_tokens++;
    stream->event_bytes = (size_t)snprintf(
        stream->event, sizeof(stream->event),
        "data: {\"choices\":[{\"index\":0,\"text\":\"%08lx \"}]}\n\n",
        (unsigned long)(token & 0xffffffffUL));
}

static ssize_t
read_stream(void *data, uint64_t position, char *out, size_t max)
{
    struct stream *stream = data;
    size_t count;

    (void)position;
    if (!wait_for_prefill(stream)) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    crash_if_asked(stream);
    if (stream->event_sent == stream->event_bytes) {
        if (stream->done_sent) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        if (stream->truncate_after_tokens != 0 &&
            stream->sent_tokens == stream->truncate_after_tokens) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        if (stream->sent_tokens > 0) {
            usleep((useconds_t)engine.arguments[ARG_TOKEN_US]);
        }
        next_event(stream);
    }
    count = MIN(max, stream->event_bytes - stream->event_sent);
    memcpy(out, stream->event + stream->event_sent, count);
    stream->event_sent += count;
    return (ssize_t)count;
}

static char *
complete_body(const struct stream *stream)
{
    GString *text = g_string_new("{\"choices\":[{\"index\":0,\"text\":\"");

    for (uint64_t i = 0; i < stream->max_tokens; i++) {
        uint64_t token = XXH64(&i, sizeof(i), stream->hash);

        g_string_append_printf(text, "%08lx ",
                               (unsigned long)(token & 0xffffffffUL));
    }
    g_string_append(text, "\"}]}\n");
    return g_string_free(text, FALSE);
}

/* Returns how many of the tokens aren't in the longest cached prefix (see
   prefix_bytes()), at four bytes per token. The caller holds the lock. */
static uint64_t
tokens_to_prefill(const struct stream *stream, uint64_t tokens)
{
    for (uint32_t i = 0; i < stream->prompt.prefix_count; i++) {
        gpointer hash = GSIZE_TO_POINTER(stream->prompt.prefixes[i]);

        if (g_hash_table_contains(engine.cached, hash)) {
            uint64_t cached =
                (1024ULL << (stream->prompt.prefix_count - 1 - i)) / 4;

            engine.cached_tokens += MIN(cached, tokens);
            return tokens - MIN(cached, tokens);
        }
    }
    return tokens;
}

/* Returns the tokens whose KV memory other engines hold, from the header
   X-Memory-Parts: "ID@IP:PORT=TOKENS,...". */
static uint64_t
tokens_at_other_engines(const struct fake_request *request)
{
    const char *parts = fake_header(request, "X-Memory-Parts");
    char **list = g_strsplit(parts != NULL ? parts : "", ",", -1);
    uint64_t tokens = 0;

    for (size_t i = 0; list[i] != NULL; i++) {
        const char *equals = strchr(list[i], '=');

        tokens += equals != NULL ? strtoull(equals + 1, NULL, 10) : 0;
    }
    g_strfreev(list);
    return tokens;
}

static bool
begins_with_crash_byte(const struct fake_request *request)
{
    static const char field[] = "\"prompt\":\"";
    const char *found = g_strstr_len((const char *)request->body->data,
                                     (gssize)request->body->len, field);

    return engine.arguments[ARG_CRASH] != 0 && found != NULL &&
           (uint64_t)found[strlen(field)] == engine.arguments[ARG_CRASH];
}

static struct stream *
create_stream(const struct fake_request *request,
              struct fake_response *response)
{
    struct stream *stream = g_new0(struct stream, 1);
    const char *id = fake_header(request, "X-Request-Id");
    const char *priority = fake_header(request, "X-Priority");
    const char *why = NULL;
    uint64_t tokens;

    if (!prompt_parse(request->body->data, request->body->len, &stream->prompt,
                      &why)) {
        response->status = MHD_HTTP_BAD_REQUEST;
        g_free(stream);
        return NULL;
    }
    tokens = prompt_tokens(&stream->prompt, 4);
    stream->id = g_strdup(id != NULL ? id : "none");
    stream->priority = priority != NULL ? strtoull(priority, NULL, 10) : 0;
    stream->hash = XXH64(request->body->data, request->body->len, 0);
    stream->max_tokens = stream->prompt.max_tokens;
    stream->memory_tokens = tokens + stream->max_tokens;
    stream->memory_tokens -=
        MIN(stream->memory_tokens, tokens_at_other_engines(request));
    stream->is_single_body = !stream->prompt.streamed;
    stream->crashes = begins_with_crash_byte(request);
    pthread_mutex_lock(&engine.lock);
    if (engine.held_tokens + stream->memory_tokens >
        engine.arguments[ARG_MEMORY]) {
        engine.refused++;
        pthread_mutex_unlock(&engine.lock);
        response->status = MHD_HTTP_SERVICE_UNAVAILABLE;
        prompt_clear(&stream->prompt);
        g_free(stream->id);
        g_free(stream);
        return NULL;
    }
    engine.held_tokens += stream->memory_tokens;
    engine.started++;
    stream->prefill_left_tokens = tokens_to_prefill(stream, tokens);
    stream->truncate_after_tokens = engine.truncate_after_tokens;
    engine.truncate_after_tokens = 0;
    g_ptr_array_add(engine.streams, stream);
    pthread_mutex_unlock(&engine.lock);
    return stream;
}

/* Reads a stream that only holds memory until it is cancelled. */
static ssize_t
read_memory_hold(void *data, uint64_t position, char *out, size_t max)
{
    static const char held[] = {'h', 'e', 'l', 'd', '\n'};
    struct stream *stream = data;

    if (position == 0) {
        size_t count = MIN(max, sizeof(held));

        memcpy(out, held, count);
        return (ssize_t)count;
    }
    pthread_mutex_lock(&engine.lock);
    while (!stream->cancelled) {
        pthread_cond_wait(&engine.changed, &engine.lock);
    }
    pthread_mutex_unlock(&engine.lock);
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

static void
hold_memory(const struct fake_request *request, struct fake_response *response)
{
    struct stream *stream = g_new0(struct stream, 1);
    const char *id = fake_header(request, "X-Request-Id");
    json_t *body = json_loadb((const char *)request->body->data,
                              request->body->len, 0, NULL);

    stream->id = g_strdup(id != NULL ? id : "none");
    stream->memory_tokens =
        (uint64_t)json_integer_value(json_object_get(body, "tokens"));
    json_decref(body);
    pthread_mutex_lock(&engine.lock);
    if (engine.held_tokens + stream->memory_tokens >
        engine.arguments[ARG_MEMORY]) {
        engine.refused++;
        pthread_mutex_unlock(&engine.lock);
        response->status = MHD_HTTP_SERVICE_UNAVAILABLE;
        g_free(stream->id);
        g_free(stream);
        return;
    }
    engine.held_tokens += stream->memory_tokens;
    g_ptr_array_add(engine.streams, stream);
    pthread_mutex_unlock(&engine.lock);
    response->content_type = "text/plain";
    response->read = read_memory_hold;
    response->free_read = free_stream;
    response->read_data = stream;
}

static void
complete(const struct fake_request *request, struct fake_response *response)
{
    struct stream *stream = create_stream(request, response);

    if (stream == NULL) {
        return;
    }
    if (!stream->is_single_body) {
        response->content_type = "text/event-stream";
        response->read = read_stream;
        response->free_read = free_stream;
        response->read_data = stream;
        return;
    }
    response->drop = !wait_for_prefill(stream);
    crash_if_asked(stream);
    usleep((useconds_t)(engine.arguments[ARG_TOKEN_US] * stream->max_tokens));
    response->content_type = "application/json";
    response->body = complete_body(stream);
    free_stream(stream);
}

static void
cancel(const char *id, struct fake_response *response)
{
    response->status = MHD_HTTP_NOT_FOUND;
    pthread_mutex_lock(&engine.lock);
    for (guint i = 0; i < engine.streams->len; i++) {
        struct stream *stream = g_ptr_array_index(engine.streams, i);

        if (strcmp(stream->id, id) == 0) {
            stream->cancelled = true;
            engine.cancelled++;
            response->status = MHD_HTTP_OK;
        }
    }
    pthread_cond_broadcast(&engine.changed);
    pthread_mutex_unlock(&engine.lock);
}

static void
list_streams(struct fake_response *response)
{
    json_t *list = json_array();

    pthread_mutex_lock(&engine.lock);
    for (guint i = 0; i < engine.streams->len; i++) {
        const struct stream *stream = g_ptr_array_index(engine.streams, i);

        json_array_append_new(list, json_pack("{s:s}", "id", stream->id));
    }
    pthread_mutex_unlock(&engine.lock);
    response->content_type = "application/json";
    response->body = json_dumps(list, JSON_COMPACT);
    json_decref(list);
}

static void
report_stats(struct fake_response *response)
{
    pthread_mutex_lock(&engine.lock);
    response->body = g_strdup_printf(
        "{\"held_tokens\":%lu,\"streams\":%u,\"started\":%lu,"
        "\"refused\":%lu,\"cancelled\":%lu,\"cached_tokens\":%lu}\n",
        (unsigned long)engine.held_tokens, engine.streams->len,
        (unsigned long)engine.started, (unsigned long)engine.refused,
        (unsigned long)engine.cancelled, (unsigned long)engine.cached_tokens);
    pthread_mutex_unlock(&engine.lock);
}

static void
handle(void *data, const struct fake_request *request,
       struct fake_response *response)
{
    static const char streams_path[] = "/v1/streams";
    const char *path = request->path;

    (void)data;
    if (strcmp(path, "/health") == 0) {
        response->body = g_strdup("ok\n");
    }
    else if (strcmp(path, "/control/stats") == 0) {
        report_stats(response);
    }
    else if (strcmp(path, "/control/truncate") == 0) {
        engine.truncate_after_tokens = fake_query_number(request, "after", 1);
    }
    else if (strcmp(path, streams_path) == 0) {
        list_streams(response);
    }
    else if (g_str_has_prefix(path, streams_path) &&
             strcmp(request->method, "DELETE") == 0) {
        cancel(path + strlen(streams_path) + 1, response);
    }
    else if (strcmp(path, "/v1/memory/holds") == 0) {
        hold_memory(request, response);
    }
    else if (strcmp(path, "/v1/completions") == 0 ||
             strcmp(path, "/v1/chat/completions") == 0) {
        complete(request, response);
    }
    else {
        response->status = MHD_HTTP_NOT_FOUND;
    }
}

int
main(int argc, char **argv)
{
    struct fake_address address = fake_parse_arguments(
        argc, argv, argument_names, engine.arguments, ARG_COUNT);
    pthread_t thread;

    engine.streams = g_ptr_array_new();
    engine.cached = g_hash_table_new(NULL, NULL);
    if (pthread_create(&thread, NULL, run_prefill, NULL) != 0) {
        return EXIT_FAILURE;
    }
    return fake_serve(&address, handle, NULL);
}
