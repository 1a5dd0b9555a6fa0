#ifndef CORE_SHARED_BOX_H
#define CORE_SHARED_BOX_H

#include <stdbool.h>
#include <stddef.h>

/* Memory with an atomic reference count, which several threads may share. GLib
   has the same (g_atomic_rc_box_new()), but its atomic operations are within
   the library, where the thread sanitizer does not see them. */

/* Returns zeroed memory with one reference. */
void *shared_box_create(size_t count);
/* Returns box. */
void *shared_box_acquire(void *box);
/* Whether the caller has the only reference. */
bool shared_box_is_own(void *box);
/* With the last reference, calls clear, unless it is NULL, and frees box. */
void shared_box_release(void *box, void (*clear)(void *box));

#endif
