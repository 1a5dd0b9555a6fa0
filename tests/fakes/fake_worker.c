/* Fake of a worker of the users' platform: an event stream of a model under
   /stream, reservations of KV memory under /dandelionfork/order, a plain
   service under all other paths. Streams and the service echo the request.
   Commands under /control, with any method: id?is=N (the instance id is
   worker-N), full?on=1 (refuses requests with 503 as not executed; with
   &retry_s=N it adds Retry-After), fail?on=1
   (runs requests and responds with 500), memory?tokens=N (KV memory that can
   be reserved), cut?after=N (streams end in the middle of the event after N
   whole ones, as complete HTTP responses; with &break=1 their connection
   breaks there), leaving?on=1 (answers say that
   the worker is leaving), silent?on=1 (runs requests and doesn't respond),
   empty?on=1 (streams have neither a length nor chunks and end before their
   first event), crash?part=ID (the process exits when it begins the stream of
   a request with that part in its Prompt-Prefix; with &stay=1 it breaks the
   connection instead; with path=PATH and body=TEXT in place of part, when it
   runs a request with that path and body, and with &event=N, after it has sent
   N events of the stream), helper?address=IP:PORT
   (refuses requests with that helper as not executed, and says that it is at
   fault), limit?milli=N (answers name a limit of N
   thousandths of a request a second; 0: none), cold?ms=N (answers say
   that it stays cold that long), overrun?ms=N&limit=N&after=N (for N ms it
   exits when it has got more than the limit of requests within a second, from
   so many ms after the command on), orders?ms=N (orders wait that
   long), raw?when=kept|resumed&at=before|split|after (the command's body is
   written as it is, with the request's Attempt-Id for each @: beside the
   response to a request on a connection that has carried another one, or in
   place of the response to a request with Last-Event-Id, after which the
   connection closes; split: in two parts; without when: no more), stats. A
   request may ask for another number of events (?events=N), for longer ones
   (?bytes=N adds so many to each), for longer ones without pauses (?padding=N)
   or for a slower response (?ms=N). The worker prints each run on standard
   output, "ran MS ID ACCOUNT CREDENTIAL HELPERS", each refusal while it is
   full, "refused MS ID RETRY_S|-", "overran MS N" before it exits since it got
   more than N requests within a second, and the end of each stream, "ended MS
   ID whole|cut": cut if its connection ended first. MS is the time of
   fake_clock_ms(), ID the Attempt-Id. */

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "tests/fakes/fake_server.h"

enum {
    DEFAULT_EVENTS = 12,
    DEFAULT_MEMORY_TOKENS = 1000000,
    EVENT_PAUSE_US = 20 * 1000,
    STATUS_MISDIRECTED = 421,
    NAME_BYTES = 64,
    MAX_OVERRUN_LIMIT = 256,
    MS_PER_S = 1000,
    US_PER_MS = 1000,
};

struct worker {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    uint64_t number;
    bool full;
    const char *retry_after; /* NULL: not given */
    uint64_t refused;
    bool fail;
    const char *limit; /* Server-Limit; NULL: none */
    const char *cold;  /* Cold-Ms; NULL: not given */
    bool leaving;
    bool silent;
    bool empty;
    uint64_t cut_after;
    bool cut_breaks;
    bool crash_stays;
    char bad_helper[NAME_BYTES]; /* its address; empty: none */
    char crash_part[NAME_BYTES]; /* with the colon; empty: none */
    char crash_path[NAME_BYTES]; /* of the request; empty: none */
    char crash_body[NAME_BYTES];
    uint64_t crash_event; /* 0: before the response */
    uint64_t overrun_until_ms;
    uint64_t overrun_limit; /* requests per second; 0: none */
    uint64_t overrun_from_ms;
    uint64_t arrivals_ms[MAX_OVERRUN_LIMIT]; /* the last ones, as a ring */
    uint64_t arrival_count;
    uint64_t runs;
    uint64_t streams;          /* in progress */
    uint64_t streams_cut;      /* whose connection ended first */
    char last[NAME_BYTES * 4]; /* see run() */
    uint64_t memory_tokens;    /* most that can be reserved */
    uint64_t reserved_tokens;
    uint64_t reserved_until_ms;
    char reservation_id[NAME_BYTES];
    uint64_t orders;
    uint64_t order_ms; /* before an order is carried out */
    uint64_t reserves;
    uint64_t releases;
    bool raw_kept;
    bool raw_resumed;
    bool raw_split;
    bool raw_after;
    const char *raw;
    uint64_t raw_count; /* how often it was written */
};

struct stream {
    struct worker *worker;
    uint64_t next; /* id of the last event that was made */
    uint64_t end;  /* id of the last event */
    uint64_t cut_after;
    bool cut_breaks;
    bool cutting; /* the event is the last one, and not whole */
    bool crashes; /* when crash_next events were made */
    uint64_t crash_next;
    bool finished;
    char id[NAME_BYTES]; /* the request's Attempt-Id */
    GString *event;
    char *padding; /* at the end of each event */
    bool at_once;  /* without pauses between events */
    size_t offset; /* bytes of the event that were sent */
};

/* Flushes, so that the line is in the log even if this process is killed. */
__attribute__((format(printf, 1, 2))) static void
print_line(const char *format, ...)
{
    va_list arguments;

    va_start(arguments, format);
    vprintf(format, arguments);
    va_end(arguments);
    fflush(stdout);
}

static bool
make_event(struct stream *stream)
{
    if (stream->next >= stream->end) {
        return false;
    }
    if (!stream->at_once) {
        usleep(EVENT_PAUSE_US);
    }
    g_string_printf(stream->event, "id: %lu\ndata: event %lu of %s%s\n\n",
                    (unsigned long)stream->next + 1,
                    (unsigned long)stream->next + 1, stream->id,
                    stream->padding);
    stream->offset = 0;
    stream->next++;
    return true;
}

static void
crash(const char *id)
{
    print_line("crashed %s\n", id);
    _exit(1);
}

static ssize_t
read_stream(void *data, uint64_t position, char *out, size_t max)
{
    struct stream *stream = data;
    size_t count;

    (void)position;
    if (stream->offset == stream->event->len) {
        if (stream->crashes && stream->next >= stream->crash_next) {
            if (stream->worker->crash_stays) {
                return MHD_CONTENT_READER_END_WITH_ERROR;
            }
            crash(stream->id);
        }
        bool cut = stream->cut_after != 0 && stream->next >= stream->cut_after;

        if (stream->cutting && stream->cut_breaks) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        if (stream->cutting || !make_event(stream)) {
            stream->finished = true;
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        if (cut) {
            g_string_truncate(stream->event, stream->event->len / 2);
            stream->cutting = true;
        }
    }
    count = MIN(max, stream->event->len - stream->offset);
    memcpy(out, stream->event->str + stream->offset, count);
    stream->offset += count;
    return (ssize_t)count;
}

static void
end_stream(void *data)
{
    struct stream *stream = data;
    struct worker *worker = stream->worker;

    pthread_mutex_lock(&worker->lock);
    worker->streams--;
    if (!stream->finished) {
        worker->streams_cut++;
    }
    print_line("ended %lu %s %s\n", (unsigned long)fake_clock_ms(), stream->id,
               stream->finished ? "whole" : "cut");
    pthread_mutex_unlock(&worker->lock);
    g_string_free(stream->event, TRUE);
    g_free(stream->padding);
    g_free(stream);
}

/* There is at most one reservation, which is enough for the tests. */
static void
expire_reservation(struct worker *worker)
{
    if (fake_clock_ms() >= worker->reserved_until_ms) {
        worker->reserved_tokens = 0;
        worker->reservation_id[0] = '\0';
    }
}

static void
reserve(struct worker *worker, const char *id, uint64_t tokens,
        uint64_t hold_ms, struct fake_response *response)
{
    bool renewed = strcmp(id, worker->reservation_id) == 0;

    worker->reserves++;
    if (!renewed &&
        (worker->reserved_tokens > 0 || tokens > worker->memory_tokens)) {
        response->status = MHD_HTTP_CONFLICT;
        return;
    }
    g_strlcpy(worker->reservation_id, id, sizeof(worker->reservation_id));
    worker->reserved_tokens = tokens;
    worker->reserved_until_ms = fake_clock_ms() + hold_ms;
}

static void
handle_order(struct worker *worker, const struct fake_request *request,
             struct fake_response *response)
{
    json_t *json = json_loadb((const char *)request->body->data,
                              request->body->len, 0, NULL);
    const char *operation = "";
    const char *id = "";
    json_int_t tokens = 0;
    json_int_t hold_ms = 0;

    if (json_unpack(json, "{s:s, s:s, s?I, s?I}", "operation", &operation,
                    "id", &id, "tokens", &tokens, "hold_ms", &hold_ms) != 0) {
        response->status = MHD_HTTP_BAD_REQUEST;
    }
    else if (strcmp(operation, "reserve") == 0) {
        reserve(worker, id, (uint64_t)tokens, (uint64_t)hold_ms, response);
    }
    else if (strcmp(id, worker->reservation_id) == 0) {
        worker->releases++;
        worker->reserved_until_ms = 0;
    }
    json_decref(json);
}

static const char *
header_or_dash(const struct fake_request *request, const char *name)
{
    const char *value = fake_header(request, name);

    return value != NULL ? value : "-";
}

static bool
crashes_on_part(const struct worker *worker,
                const struct fake_request *request)
{
    return worker->crash_part[0] != '\0' &&
           strstr(header_or_dash(request, "Prompt-Prefix"),
                  worker->crash_part) != NULL;
}

static bool
crashes_on_request(const struct worker *worker,
                   const struct fake_request *request)
{
    size_t length = strlen(worker->crash_body);

    return worker->crash_path[0] != '\0' &&
           strcmp(request->path, worker->crash_path) == 0 &&
           request->body->len == length &&
           (length == 0 ||
            memcmp(request->body->data, worker->crash_body, length) == 0);
}

static void
begin_stream(struct worker *worker, const struct fake_request *request,
             struct fake_response *response)
{
    const char *after = fake_header(request, "Last-Event-Id");
    struct stream *stream = g_new0(struct stream, 1);

    stream->worker = worker;
    stream->event = g_string_new(NULL);
    stream->next = after != NULL ? g_ascii_strtoull(after, NULL, 10) : 0;
    stream->end = fake_query_number(request, "events", DEFAULT_EVENTS);
    stream->at_once = fake_query_number(request, "padding", 0) > 0;
    stream->padding = g_strnfill(fake_query_number(request, "bytes", 0) +
                                     fake_query_number(request, "padding", 0),
                                 'x');
    g_strlcpy(stream->id, header_or_dash(request, "Attempt-Id"),
              sizeof(stream->id));
    stream->cut_after = worker->cut_after;
    stream->cut_breaks = worker->cut_breaks;
    if (worker->empty) {
        stream->end = stream->next;
        response->unframed = true;
    }
    stream->crashes = crashes_on_part(worker, request) ||
                      crashes_on_request(worker, request);
    stream->crash_next = stream->next + worker->crash_event;
    worker->streams++;
    response->content_type = "text/event-stream";
    response->read = read_stream;
    response->free_read = end_stream;
    response->read_data = stream;
}

/* Counts a request. One that is too many ends the process. */
static void
count_arrival(struct worker *worker)
{
    uint64_t now_ms = fake_clock_ms();
    uint64_t *oldest_ms;

    if (worker->overrun_limit == 0 || now_ms >= worker->overrun_until_ms ||
        now_ms < worker->overrun_from_ms) {
        return;
    }
    oldest_ms =
        &worker->arrivals_ms[worker->arrival_count++ % worker->overrun_limit];
    if (*oldest_ms != 0 && now_ms < *oldest_ms + MS_PER_S) {
        print_line("overran %lu %lu\n", (unsigned long)now_ms,
                   (unsigned long)worker->overrun_limit);
        _exit(1);
    }
    *oldest_ms = now_ms;
}

/* Returns whether to run the request. Otherwise fills the response. */
static bool
admit(struct worker *worker, const struct fake_request *request,
      struct fake_response *response)
{
    char name[NAME_BYTES];
    const char *expected = fake_header(request, "Expect-Instance");

    g_snprintf(name, sizeof(name), "worker-%lu",
               (unsigned long)worker->number);
    if (expected != NULL && strcmp(expected, name) != 0) {
        response->status = STATUS_MISDIRECTED;
        return false;
    }
    if (worker->bad_helper[0] != '\0' &&
        strstr(header_or_dash(request, "Helpers"), worker->bad_helper) !=
            NULL) {
        response->status = MHD_HTTP_SERVICE_UNAVAILABLE;
        response->headers[0] = (struct fake_header_line){"Not-Executed", "1"};
        response->headers[5] =
            (struct fake_header_line){"At-Server", worker->bad_helper};
        return false;
    }
    if (worker->full) {
        response->status = MHD_HTTP_SERVICE_UNAVAILABLE;
        response->headers[0] = (struct fake_header_line){"Not-Executed", "1"};
        if (worker->retry_after != NULL) {
            response->headers[5] =
                (struct fake_header_line){"Retry-After", worker->retry_after};
        }
        worker->refused++;
        print_line("refused %lu %s %s\n", (unsigned long)fake_clock_ms(),
                   header_or_dash(request, "Attempt-Id"),
                   worker->retry_after != NULL ? worker->retry_after : "-");
        count_arrival(worker);
        return false;
    }
    return true;
}

/* Unlocks the worker while it waits, so that it serves other requests. */
static void
delay(struct worker *worker, uint64_t wait_ms)
{
    pthread_mutex_unlock(&worker->lock);
    usleep((useconds_t)(wait_ms * US_PER_MS));
    pthread_mutex_lock(&worker->lock);
}

static void
copy_query(const struct fake_request *request, const char *name, char *out)
{
    const char *value = MHD_lookup_connection_value(
        request->connection, MHD_GET_ARGUMENT_KIND, name);

    g_strlcpy(out, value != NULL ? value : "", NAME_BYTES);
}

static const char *
raw_bytes(const struct worker *worker, const struct fake_request *request)
{
    char **parts = g_strsplit(worker->raw, "@", -1);
    char *joined = g_strjoinv(header_or_dash(request, "Attempt-Id"), parts);
    const char *bytes = g_intern_string(joined);

    g_free(joined);
    g_strfreev(parts);
    return bytes;
}

static void
write_raw(struct worker *worker, const struct fake_request *request,
          struct fake_response *response)
{
    const char *bytes = raw_bytes(worker, request);
    size_t first = worker->raw_split ? strlen(bytes) / 2 : strlen(bytes);

    worker->raw_count++;
    if (worker->raw_after) {
        response->trailing = bytes;
        return;
    }
    fake_send_raw(request, bytes, first);
    if (worker->raw_split) {
        delay(worker, EVENT_PAUSE_US / US_PER_MS);
        fake_send_raw(request, bytes + first, strlen(bytes) - first);
    }
}

static void
set_raw(struct worker *worker, const struct fake_request *request)
{
    char when[NAME_BYTES];
    char at[NAME_BYTES];
    char *bytes =
        g_strndup((const char *)request->body->data, request->body->len);

    copy_query(request, "when", when);
    copy_query(request, "at", at);
    worker->raw_kept = strcmp(when, "kept") == 0;
    worker->raw_resumed = strcmp(when, "resumed") == 0;
    worker->raw_split = strcmp(at, "split") == 0;
    worker->raw_after = strcmp(at, "after") == 0;
    worker->raw = g_intern_string(bytes);
    g_free(bytes);
}

static void
set_overrun(struct worker *worker, const struct fake_request *request)
{
    uint64_t now_ms = fake_clock_ms();

    worker->overrun_until_ms = now_ms + fake_query_number(request, "ms", 0);
    worker->overrun_limit =
        MIN(fake_query_number(request, "limit", 0), MAX_OVERRUN_LIMIT);
    worker->overrun_from_ms = now_ms + fake_query_number(request, "after", 0);
    memset(worker->arrivals_ms, 0, sizeof(worker->arrivals_ms));
    worker->arrival_count = 0;
}

static void
run(struct worker *worker, const struct fake_request *request,
    struct fake_response *response)
{
    response->headers[1] = (struct fake_header_line){
        "Attempt-Id", header_or_dash(request, "Attempt-Id")};
    if (worker->leaving) {
        response->headers[4] =
            (struct fake_header_line){"Server-Leaving", "1"};
    }
    if (!admit(worker, request, response)) {
        return;
    }
    if (worker->limit != NULL) {
        response->headers[3] =
            (struct fake_header_line){"Server-Limit", worker->limit};
    }
    if (worker->cold != NULL) {
        response->headers[6] =
            (struct fake_header_line){"Cold-Ms", worker->cold};
    }
    worker->runs++;
    print_line("ran %lu %s %s %s %s\n", (unsigned long)fake_clock_ms(),
               header_or_dash(request, "Attempt-Id"),
               header_or_dash(request, "Tenant"),
               header_or_dash(request, "Credential"),
               header_or_dash(request, "Helpers"));
    count_arrival(worker);
    response->headers[2] =
        (struct fake_header_line){"Response-Signature", "signed"};
    /* Tests check which headers the gateway forwards, by the field "last" of
       the stats. */
    g_snprintf(worker->last, sizeof(worker->last), "%s|%s|%s|%s",
               header_or_dash(request, "Tenant"),
               header_or_dash(request, "Credential"),
               header_or_dash(request, "Last-Event-Id"),
               header_or_dash(request, "Helpers"));
    delay(worker, fake_query_number(request, "ms", 0));
    if (worker->raw_kept && request->responses > 0) {
        write_raw(worker, request, response);
    }
    if (worker->raw_resumed && fake_header(request, "Last-Event-Id") != NULL) {
        write_raw(worker, request, response);
        response->drop = true;
        return;
    }
    while (worker->silent) {
        pthread_cond_wait(&worker->changed, &worker->lock);
    }
    if (worker->fail) {
        response->status = MHD_HTTP_INTERNAL_SERVER_ERROR;
        response->body = g_strdup("failed\n");
        return;
    }
    if (g_str_has_prefix(request->path, "/stream/")) {
        begin_stream(worker, request, response);
        return;
    }
    if (crashes_on_request(worker, request)) {
        crash(header_or_dash(request, "Attempt-Id"));
    }
    response->body = g_strdup_printf(
        "worker-%lu %s %s %.*s\n", (unsigned long)worker->number,
        request->method, request->path, (int)request->body->len,
        (const char *)request->body->data);
}

static void
set_limit(struct worker *worker, uint64_t milli)
{
    char text[NAME_BYTES];

    g_snprintf(text, sizeof(text), "%.3f", (double)milli / 1000.0);
    worker->limit = milli > 0 ? g_intern_string(text) : NULL;
}

static void
set_crash(struct worker *worker, const struct fake_request *request)
{
    copy_query(request, "part", worker->crash_part);
    if (worker->crash_part[0] != '\0') {
        g_strlcat(worker->crash_part, ":", NAME_BYTES);
    }
    copy_query(request, "path", worker->crash_path);
    copy_query(request, "body", worker->crash_body);
    worker->crash_event = fake_query_number(request, "event", 0);
    worker->crash_stays = fake_query_number(request, "stay", 0) != 0;
}

static void
control(struct worker *worker, const struct fake_request *request,
        const char *command, struct fake_response *response)
{
    bool on = fake_query_number(request, "on", 1) != 0;

    if (strcmp(command, "id") == 0) {
        worker->number = fake_query_number(request, "is", 0);
    }
    else if (strcmp(command, "full") == 0) {
        worker->full = on;
        worker->retry_after = MHD_lookup_connection_value(
            request->connection, MHD_GET_ARGUMENT_KIND, "retry_s");
        worker->retry_after = g_intern_string(worker->retry_after);
    }
    else if (strcmp(command, "fail") == 0) {
        worker->fail = on;
    }
    else if (strcmp(command, "silent") == 0) {
        worker->silent = on;
        pthread_cond_broadcast(&worker->changed);
    }
    else if (strcmp(command, "limit") == 0) {
        set_limit(worker, fake_query_number(request, "milli", 0));
    }
    else if (strcmp(command, "cold") == 0) {
        worker->cold = g_intern_string(MHD_lookup_connection_value(
            request->connection, MHD_GET_ARGUMENT_KIND, "ms"));
    }
    else if (strcmp(command, "overrun") == 0) {
        set_overrun(worker, request);
    }
    else if (strcmp(command, "orders") == 0) {
        worker->order_ms = fake_query_number(request, "ms", 0);
    }
    else if (strcmp(command, "leaving") == 0) {
        worker->leaving = on;
    }
    else if (strcmp(command, "empty") == 0) {
        worker->empty = on;
    }
    else if (strcmp(command, "memory") == 0) {
        worker->memory_tokens = fake_query_number(request, "tokens", 0);
    }
    else if (strcmp(command, "helper") == 0) {
        copy_query(request, "address", worker->bad_helper);
    }
    else if (strcmp(command, "crash") == 0) {
        set_crash(worker, request);
    }
    else if (strcmp(command, "raw") == 0) {
        set_raw(worker, request);
    }
    else if (strcmp(command, "cut") == 0) {
        worker->cut_after = fake_query_number(request, "after", 0);
        worker->cut_breaks = fake_query_number(request, "break", 0) != 0;
    }
    else if (strcmp(command, "stats") == 0) {
        expire_reservation(worker);
        response->body = g_strdup_printf(
            "{\"runs\":%lu,\"refused\":%lu,\"streams\":%lu,\"cut\":%lu,"
            "\"held\":%lu,"
            "\"orders\":%lu,\"reserves\":%lu,\"releases\":%lu,\"raw\":%lu,"
            "\"last\":\"%s\"}\n",
            (unsigned long)worker->runs, (unsigned long)worker->refused,
            (unsigned long)worker->streams, (unsigned long)worker->streams_cut,
            (unsigned long)worker->reserved_tokens,
            (unsigned long)worker->orders, (unsigned long)worker->reserves,
            (unsigned long)worker->releases, (unsigned long)worker->raw_count,
            worker->last);
    }
    else {
        response->status = MHD_HTTP_NOT_FOUND;
    }
}

static void
handle(void *data, const struct fake_request *request,
       struct fake_response *response)
{
    struct worker *worker = data;

    pthread_mutex_lock(&worker->lock);
    if (g_str_has_prefix(request->path, "/control/")) {
        control(worker, request, request->path + strlen("/control/"),
                response);
    }
    else if (strcmp(request->path, "/dandelionfork/order") == 0) {
        worker->orders++;
        delay(worker, worker->order_ms);
        expire_reservation(worker);
        handle_order(worker, request, response);
    }
    else {
        run(worker, request, response);
    }
    pthread_mutex_unlock(&worker->lock);
}

int
main(int argc, char **argv)
{
    static struct worker worker = {
        .lock = PTHREAD_MUTEX_INITIALIZER,
        .changed = PTHREAD_COND_INITIALIZER,
        .memory_tokens = DEFAULT_MEMORY_TOKENS,
    };
    static const char *const names[] = {"number"};
    uint64_t number = 0;
    struct fake_address address =
        fake_parse_arguments(argc, argv, names, &number, 1);

    worker.number = number;
    return fake_serve(&address, handle, &worker);
}
