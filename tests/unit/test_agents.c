/* Tests an entry's links to agents: another instance answers at an agent's
   address. */

#include <arpa/inet.h>
#include <glib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/config.h"
#include "core/members.h"
#include "core/message.h"
#include "entry/agents.h"
#include "io/link.h"
#include "io/loop.h"

enum {
    MAX_CANDIDATES = 2,
};

static char *patterns[] = {(char *)"a-*", NULL};
static const struct pool pool = {.name = (char *)"pool",
                                 .endpoints = patterns};

struct fixture {
    struct loop *loop;
    struct members *members;
    struct agents *agents;
    GRand *rand;
    uint32_t downs;
    uint32_t max_downs; /* then the loop is stopped */
};

static void
on_unavailable(void *context, uint32_t node)
{
    (void)context;
    (void)node;
}

/* The other end: an agent that calls itself by another name. */

static void
on_other_up(void *data, struct link *link, const struct message *hello)
{
    (void)data;
    (void)link;
    (void)hello;
}

static void
on_other_message(void *data, struct link *link, const struct message *message)
{
    (void)data;
    (void)link;
    (void)message;
}

static void
on_other_down(void *data, struct link *link, const char *why)
{
    (void)data;
    (void)why;
    link_destroy(link);
}

static void
on_connection(void *data, int fd, uint32_t events)
{
    static const struct link_identity other = {
        .instance = "other", .data_centre = "near", .incarnation = 1};
    static const struct link_handlers handlers = {
        on_other_up, on_other_message, on_other_down};
    struct fixture *fixture = data;
    int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    (void)events;
    g_assert_cmpint(accepted, >=, 0);
    link_accept(fixture->loop, accepted, &other, &handlers, fixture);
}

/* The entry. */

static void
send_something(void *data, uint64_t now_ms)
{
    struct fixture *fixture = data;
    const struct message message = {.type = MESSAGE_ALIVE};

    (void)now_ms;
    agents_send(fixture->agents, 0, &message);
}

static void
on_message(void *data, uint32_t node, uint64_t incarnation,
           const struct message *message, uint64_t now_ms)
{
    (void)data;
    (void)node;
    (void)incarnation;
    (void)message;
    (void)now_ms;
}

static void
on_up(void *data, uint32_t node, uint64_t incarnation, uint64_t generation,
      uint64_t now_ms)
{
    (void)data;
    (void)node;
    (void)incarnation;
    (void)generation;
    (void)now_ms;
    g_assert_not_reached();
}

static void
on_down(void *data, uint32_t node, uint64_t now_ms)
{
    struct fixture *fixture = data;

    (void)node;
    (void)now_ms;
    fixture->downs++;
    if (fixture->downs == fixture->max_downs) {
        loop_stop(fixture->loop);
    }
    else {
        loop_post(fixture->loop, send_something, fixture);
    }
}

static void
on_silent(void *data, uint32_t node, uint64_t now_ms)
{
    (void)data;
    (void)node;
    (void)now_ms;
}

static uint32_t
first_choice(struct fixture *fixture)
{
    uint32_t nodes[MAX_CANDIDATES];

    g_assert_cmpuint(members_choose(fixture->members, &pool, 0, fixture->rand,
                                    loop_now_ms(fixture->loop), nodes,
                                    MAX_CANDIDATES),
                     ==, MAX_CANDIDATES);
    return nodes[0];
}

static void
run_until_downs(struct fixture *fixture, uint32_t downs)
{
    fixture->max_downs = downs;
    send_something(fixture, 0);
    loop_run(fixture->loop);
}

/* Each connection to another instance is one failure: after two the node is
   still preferred, after three it is ejected. */
static void
test_other_instance(void)
{
    static const struct members_ops ops = {on_unavailable};
    static const struct agents_handlers handlers = {.message = on_message,
                                                    .up = on_up,
                                                    .down = on_down,
                                                    .silent = on_silent};
    const struct link_identity identity = {
        .instance = "entry", .data_centre = "near", .incarnation = 2};
    /* What runs on the loop ends with the process. */
    static struct fixture fixture;
    int listener = link_listen("127.0.0.1", 0);
    struct sockaddr_in address;
    socklen_t size = sizeof(address);
    struct member list[] = {
        {(char *)"a-0", (char *)"near", (char *)"127.0.0.1", 0, false},
        {(char *)"a-1", (char *)"far", (char *)"127.0.0.1", 1, false}};

    fixture.loop = loop_create();
    getsockname(listener, (struct sockaddr *)&address, &size);
    list[0].port = ntohs(address.sin_port);
    loop_watch(fixture.loop, listener, EPOLLIN, on_connection, &fixture);
    fixture.rand = g_rand_new_with_seed(1);
    fixture.members =
        members_create("near", MEMBERS_LATE_BINDING, &ops, &fixture);
    members_update(fixture.members, list, G_N_ELEMENTS(list));
    fixture.agents = agents_create(fixture.loop, fixture.members, &identity,
                                   1000, &handlers, &fixture);
    run_until_downs(&fixture, 2);
    g_assert_cmpuint(first_choice(&fixture), ==, 0);
    run_until_downs(&fixture, 3);
    g_assert_cmpuint(first_choice(&fixture), ==, 1);
    loop_unwatch(fixture.loop, listener);
    close(listener);
    g_rand_free(fixture.rand);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/agents/other-instance", test_other_instance);
    return g_test_run();
}
