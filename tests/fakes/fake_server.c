#include "tests/fakes/fake_server.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

enum {
    STREAM_BLOCK_BYTES = 4096,
    EXIT_USAGE = 2
};

struct server {
    void (*handler)(void *data, const struct fake_request *request,
                    struct fake_response *response);
    void *data;
};

uint64_t
fake_clock_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static bool
parse_number_argument(const char *name, const char *text,
                      const char *const *names, uint64_t *values, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(name, names[i]) == 0) {
            values[i] = strtoull(text, NULL, 10);
            return true;
        }
    }
    return false;
}

struct fake_address
fake_parse_arguments(int argc, char **argv, const char *const *names,
                     uint64_t *values, size_t count)
{
    struct fake_address address = {"127.0.0.1", 0};

    for (int i = 1; i + 1 < argc; i += 2) {
        const char *name = argv[i] + strspn(argv[i], "-");

        if (strcmp(name, "port") == 0) {
            address.port = (uint16_t)strtoul(argv[i + 1], NULL, 10);
        }
        else if (strcmp(name, "ip") == 0) {
            g_strlcpy(address.ip, argv[i + 1], sizeof(address.ip));
        }
        else if (!parse_number_argument(name, argv[i + 1], names, values,
                                        count)) {
            fprintf(stderr, "unknown argument %s\n", argv[i]);
            exit(EXIT_USAGE);
        }
    }
    if (address.port == 0) {
        fprintf(stderr, "--port is missing\n");
        exit(EXIT_USAGE);
    }
    return address;
}

const char *
fake_header(const struct fake_request *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
                                       name);
}

bool
fake_has_query(const struct fake_request *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name) != NULL;
}

uint64_t
fake_query_number(const struct fake_request *request, const char *name,
                  uint64_t default_value)
{
    const char *text = MHD_lookup_connection_value(
        request->connection, MHD_GET_ARGUMENT_KIND, name);

    return text != NULL ? strtoull(text, NULL, 10) : default_value;
}

void
fake_send_raw(const struct fake_request *request, const char *bytes,
              size_t count)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

    send(info->connect_fd, bytes, count, MSG_NOSIGNAL);
}

static uint32_t *
response_count(struct MHD_Connection *connection)
{
    return MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_SOCKET_CONTEXT)
        ->socket_context;
}

static void
on_connection(void *data, struct MHD_Connection *connection, void **context,
              enum MHD_ConnectionNotificationCode code)
{
    (void)data;
    (void)connection;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        *context = g_new0(uint32_t, 1);
    }
    else {
        g_free(*context);
    }
}

static enum MHD_Result
send_response(const struct fake_request *request,
              const struct fake_response *response)
{
    struct MHD_Response *mhd_response;
    enum MHD_Result result;
    char index[32];

    if (response->drop) {
        free(response->body);
        return MHD_NO;
    }
    if (response->read != NULL) {
        mhd_response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, response->read,
            response->read_data, response->free_read);
        if (response->unframed) {
            MHD_set_response_options(mhd_response, MHD_RF_HTTP_1_0_SERVER,
                                     MHD_RO_END);
        }
    }
    else {
        mhd_response = MHD_create_response_from_buffer(
            response->body != NULL ? strlen(response->body) : 0,
            response->body, MHD_RESPMEM_MUST_FREE);
    }
    if (response->content_type != NULL) {
        MHD_add_response_header(mhd_response, "Content-Type",
                                response->content_type);
    }
    for (size_t i = 0; i < FAKE_MAX_HEADERS; i++) {
        if (response->headers[i].name != NULL) {
            MHD_add_response_header(mhd_response, response->headers[i].name,
                                    response->headers[i].value);
        }
    }
    if (response->consul_index != 0) {
        snprintf(index, sizeof(index), "%lu",
                 (unsigned long)response->consul_index);
        MHD_add_response_header(mhd_response, "X-Consul-Index", index);
    }
    result = MHD_queue_response(request->connection, response->status,
                                mhd_response);
    MHD_destroy_response(mhd_response);
    return result;
}

static enum MHD_Result
on_request(void *data, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload,
           size_t *upload_bytes, void **context)
{
    struct server *server = data;
    struct fake_request *request = *context;
    struct fake_response response = {.status = MHD_HTTP_OK};

    (void)version;
    if (request == NULL) {
        request = g_new0(struct fake_request, 1);
        request->connection = connection;
        request->method = g_strdup(method);
        request->path = g_strdup(url);
        request->body = g_byte_array_new();
        request->responses = *response_count(connection);
        *context = request;
        return MHD_YES;
    }
    if (*upload_bytes > 0) {
        g_byte_array_append(request->body, (const guint8 *)upload,
                            (guint)*upload_bytes);
        *upload_bytes = 0;
        return MHD_YES;
    }
    server->handler(server->data, request, &response);
    request->trailing = response.trailing;
    return send_response(request, &response);
}

static void
on_completed(void *data, struct MHD_Connection *connection, void **context,
             enum MHD_RequestTerminationCode code)
{
    struct fake_request *request = *context;

    (void)data;
    if (request != NULL) {
        (*response_count(connection))++;
        if (request->trailing != NULL &&
            code == MHD_REQUEST_TERMINATED_COMPLETED_OK) {
            fake_send_raw(request, request->trailing,
                          strlen(request->trailing));
        }
        g_free(request->method);
        g_free(request->path);
        g_byte_array_unref(request->body);
        g_free(request);
    }
}

int
fake_serve(const struct fake_address *address,
           void (*handler)(void *data, const struct fake_request *request,
                           struct fake_response *response),
           void *data)
{
    struct server server = {handler, data};
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(address->port)};
    struct MHD_Daemon *daemon;
    sigset_t set;
    int signal_number;

    inet_pton(AF_INET, address->ip, &at.sin_addr);
    signal(SIGPIPE, SIG_IGN);
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
        address->port, NULL, NULL, on_request, &server, MHD_OPTION_SOCK_ADDR,
        &at, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, NULL,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        1024U, MHD_OPTION_CONNECTION_LIMIT, 4096U,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)256 * 1024, MHD_OPTION_END);
    if (daemon == NULL) {
        fprintf(stderr, "can't listen on %s:%u\n", address->ip, address->port);
        return EXIT_FAILURE;
    }
    printf("ready\n");
    fflush(stdout);
    sigwait(&set, &signal_number);
    /* Exits without stopping the daemon, since handlers may be blocked. */
    _exit(EXIT_SUCCESS);
}
