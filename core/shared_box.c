#include "core/shared_box.h"

#include <glib.h>
#include <stdalign.h>
#include <stdatomic.h>
#include <stdint.h>

/* Stands before the memory, which is aligned for any type. */
struct header {
    alignas(max_align_t) _Atomic uint32_t references;
};

static struct header *
header_of(void *box)
{
    return (struct header *)box - 1;
}

void *
shared_box_create(size_t count)
{
    struct header *header = g_malloc0(sizeof(*header) + count);

    atomic_init(&header->references, 1);
    return header + 1;
}

void *
shared_box_acquire(void *box)
{
    atomic_fetch_add_explicit(&header_of(box)->references, 1,
                              memory_order_relaxed);
    return box;
}

bool
shared_box_is_own(void *box)
{
    return atomic_load_explicit(&header_of(box)->references,
                                memory_order_acquire) == 1;
}

void
shared_box_release(void *box, void (*clear)(void *box))
{
    if (atomic_fetch_sub_explicit(&header_of(box)->references, 1,
                                  memory_order_acq_rel) > 1) {
        return;
    }
    if (clear != NULL) {
        clear(box);
    }
    g_free(header_of(box));
}
