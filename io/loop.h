#ifndef IO_LOOP_H
#define IO_LOOP_H

#include <stdbool.h>
#include <stdint.h>

/* Event loop of one thread: file descriptors, timers and calls from other
   threads. All handlers run on the thread that is in loop_run(). */

struct loop;
struct loop_timer;

/* Returns NULL if the system gives no descriptors. */
struct loop *loop_create(void);
void loop_destroy(struct loop *loop);

/* Monotonic time in milliseconds, read once per round of the loop. */
uint64_t loop_now_ms(const struct loop *loop);

/* Monotonic time in milliseconds, read now. Any thread. */
uint64_t loop_clock_ms(void);

/* Milliseconds since the system started, time in suspension included. Any
   thread. */
uint64_t loop_boot_ms(void);

/* events are those of epoll. The descriptor stays the caller's. */
bool loop_watch(struct loop *loop, int fd, uint32_t events,
                void (*handler)(void *data, int fd, uint32_t events),
                void *data);
bool loop_update_watch(struct loop *loop, int fd, uint32_t events);
void loop_unwatch(struct loop *loop, int fd);

struct loop_timer *
loop_timer_create(struct loop *loop,
                  void (*handler)(void *data, uint64_t now_ms), void *data);
/* Sets or moves the time; a timer fires once. */
void loop_timer_arm(struct loop_timer *timer, uint64_t at_ms);
void loop_timer_disarm(struct loop_timer *timer);
void loop_timer_destroy(struct loop_timer *timer);

/* Runs the handler on the loop's thread, soon. Any thread. */
void loop_post(struct loop *loop, void (*handler)(void *data, uint64_t now_ms),
               void *data);

/* A handler called at the end of each round, before waiting. */
void loop_set_round_handler(struct loop *loop,
                            void (*handler)(void *data, uint64_t now_ms),
                            void *data);

void loop_run(struct loop *loop);
/* Ends loop_run() after the present round. Loop thread only. */
void loop_stop(struct loop *loop);

#endif
