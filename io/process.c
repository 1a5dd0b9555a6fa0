#include "io/process.h"

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "io/log.h"
#include "io/loop.h"

#define LOG_PART "process"

enum {
    IDLE_CHECK_INTERVAL_MS = 20
};

enum drain_state {
    DRAIN_NOT_BEGUN,
    DRAIN_GRACE,
    DRAIN_CLOSED
};

struct draining {
    struct loop *loop;
    struct process_drain drain;
    void *data;
    enum drain_state state;
    struct loop_timer *timer;
};

static void
on_drain_timer(void *data, uint64_t now_ms)
{
    struct draining *draining = data;

    if (draining->state == DRAIN_GRACE) {
        draining->state = DRAIN_CLOSED;
        draining->drain.close(draining->data);
    }
    if (draining->drain.idle(draining->data, now_ms)) {
        LOG_INFO("stopped", "%s", "");
        loop_stop(draining->loop);
        return;
    }
    loop_timer_arm(draining->timer, now_ms + IDLE_CHECK_INTERVAL_MS);
}

static void
handle_drain_signal(struct draining *draining, int signal_number)
{
    uint64_t now_ms = loop_now_ms(draining->loop);

    switch (draining->state) {
    case DRAIN_NOT_BEGUN:
        draining->state = DRAIN_GRACE;
        draining->drain.begin(draining->data, signal_number);
        loop_timer_arm(draining->timer, now_ms + draining->drain.grace_ms);
        break;
    case DRAIN_GRACE:
        loop_timer_arm(draining->timer, now_ms);
        break;
    case DRAIN_CLOSED:
        break;
    }
}

static void
on_signal(void *data, int fd, uint32_t events)
{
    struct signalfd_siginfo info;

    (void)events;
    if (read(fd, &info, sizeof(info)) == sizeof(info)) {
        handle_drain_signal(data, (int)info.ssi_signo);
    }
}

/* Blocks the signals and returns a signalfd that receives them, or -1 with
   errno. */
static int
open_signal_fd(const sigset_t *set)
{
    if (pthread_sigmask(SIG_BLOCK, set, NULL) != 0) {
        return -1;
    }
    return signalfd(-1, set, SFD_CLOEXEC | SFD_NONBLOCK);
}

void
process_block_signals(void)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
}

bool
process_drain_on_signals(struct loop *loop, const struct process_drain *drain,
                         void *data)
{
    struct draining *draining;
    sigset_t set;
    int fd;

    signal(SIGPIPE, SIG_IGN);
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    fd = open_signal_fd(&set);
    if (fd < 0) {
        return false;
    }
    draining = g_new0(struct draining, 1);
    draining->loop = loop;
    draining->drain = *drain;
    draining->data = data;
    draining->timer = loop_timer_create(loop, on_drain_timer, draining);
    return loop_watch(loop, fd, EPOLLIN, on_signal, draining);
}

struct hangup {
    void (*handler)(void *data);
    void *data;
};

static void
on_hangup(void *data, int fd, uint32_t events)
{
    struct hangup *hangup = data;
    struct signalfd_siginfo info;

    (void)events;
    if (read(fd, &info, sizeof(info)) == sizeof(info)) {
        hangup->handler(hangup->data);
    }
}

bool
process_on_hangup(struct loop *loop, void (*handler)(void *data), void *data)
{
    struct hangup *hangup;
    sigset_t set;
    int fd;

    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    fd = open_signal_fd(&set);
    if (fd < 0) {
        return false;
    }
    hangup = g_new0(struct hangup, 1);
    hangup->handler = handler;
    hangup->data = data;
    return loop_watch(loop, fd, EPOLLIN, on_hangup, hangup);
}

uint64_t
process_new_incarnation(void)
{
    uint64_t incarnation = 0;

    while (incarnation == 0) {
        if (getrandom(&incarnation, sizeof(incarnation), 0) !=
            sizeof(incarnation)) {
            abort();
        }
    }
    return incarnation;
}
