#include "io/process.h"

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "io/loop.h"

struct signal_watch {
    void (*handler)(void *data, int signal_number);
    void *data;
};

static void
on_signal(void *data, int fd, uint32_t events)
{
    struct signal_watch *watch = data;
    struct signalfd_siginfo info;

    (void)events;
    if (read(fd, &info, sizeof(info)) == sizeof(info)) {
        watch->handler(watch->data, (int)info.ssi_signo);
    }
}

bool
process_watch_signals(struct loop *loop,
                      void (*handler)(void *data, int signal_number),
                      void *data)
{
    struct signal_watch *watch;
    sigset_t set;
    int fd;

    signal(SIGPIPE, SIG_IGN);
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    if (pthread_sigmask(SIG_BLOCK, &set, NULL) != 0) {
        return false;
    }
    fd = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    if (fd < 0) {
        return false;
    }
    watch = g_new0(struct signal_watch, 1);
    watch->handler = handler;
    watch->data = data;
    return loop_watch(loop, fd, EPOLLIN, on_signal, watch);
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
