#ifndef OPERATOR_AUDIT_H
#define OPERATOR_AUDIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/config_head.h"

/* The audit trail in the platform's service: pages of JSON lines, numbered
   from 1, the next one begun when one is full. Nothing is ever removed. */

struct store;

/* Writes what the head lists as accepted and the trail lacks. Sets the head's
   audit_page for its next version. */
bool audit_catch_up(struct store *store, struct config_head *head,
                    GError **error);

/* Writes that an attempt was refused, and why. */
bool audit_refused(struct store *store, struct config_head *head,
                   const struct config_change *change, const char *why,
                   GError **error);

/* Calls for each line, the oldest first. change_id: only of that change, or
   NULL. */
bool audit_read(struct store *store, const char *change_id,
                void (*line)(void *context, const char *json), void *context,
                GError **error);

#endif
