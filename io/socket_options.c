#include "io/socket_options.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sock_diag.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    /* A probe of a closed window that is on its way is no sign of silence, nor
       is a single lost one: the next one may be sent seconds later. */
    MIN_LOST_PROBES = 2,
};

static void
set_option(int fd, int level, int option, uint32_t value)
{
    int number = (int)value;

    (void)setsockopt(fd, level, option, &number, sizeof(number));
}

int
socket_connect(const char *ip, uint16_t port, uint32_t receive_buffer_bytes)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    int fd;

    if (inet_pton(AF_INET, ip, &address.sin_addr) != 1) {
        errno = EINVAL;
        return -1;
    }
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    /* The window's scale is settled when the connection is established. */
    if (receive_buffer_bytes > 0) {
        set_option(fd, SOL_SOCKET, SO_RCVBUF, receive_buffer_bytes);
    }
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        int error = errno;

        close(fd);
        errno = error;
        return -1;
    }
    return fd;
}

void
socket_send_at_once(int fd)
{
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

void
socket_probe_idle(int fd, uint32_t idle_s, uint32_t interval_s, uint32_t count)
{
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, count);
}

void
socket_limit_unacknowledged(int fd, uint32_t timeout_ms)
{
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms);
}

void
socket_limit_unsent(int fd, uint32_t bytes)
{
    set_option(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, bytes);
}

bool
socket_ask_peer(int fd, struct socket_peer *peer)
{
    struct tcp_info info = {0};
    socklen_t length = sizeof(info);
    int count = 0;

    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 ||
        info.tcpi_state == 0 || ioctl(fd, SIOCOUTQ, &count) != 0) {
        return false;
    }
    peer->unacknowledged_bytes = (uint32_t)count;
    peer->unanswered =
        info.tcpi_unacked > 0 || info.tcpi_probes >= MIN_LOST_PROBES;
    peer->answered_ago_ms = info.tcpi_last_ack_recv;
    peer->segment_bytes = info.tcpi_snd_mss;
    peer->closed = info.tcpi_state == TCP_CLOSE;
    return true;
}

bool
socket_send_end(int fd)
{
    return shutdown(fd, SHUT_WR) == 0;
}

uint32_t
socket_kernel_bytes(int fd)
{
    uint32_t values[SK_MEMINFO_VARS] = {0};
    socklen_t length = sizeof(values);

    if (getsockopt(fd, SOL_SOCKET, SO_MEMINFO, values, &length) != 0) {
        return 0;
    }
    return values[SK_MEMINFO_RMEM_ALLOC] + values[SK_MEMINFO_WMEM_QUEUED];
}
