#ifndef OPERATOR_AUDIT_H
#define OPERATOR_AUDIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/config_head.h"

/* The audit trail of configuration changes in the platform's key-value
   service. It has one JSON line per accepted or refused change. The lines are
   stored in pages, one key each, numbered from 1; a full page is followed by a
   new one. Nothing is ever removed. The functions block and return false with
   an error if the store fails; after lost races with other writers the error
   may be NULL. */

struct store;

/* Appends the accepted changes that the head lists and the trail lacks. There
   are such changes since the head is written first. Sets the head's audit_page
   to the number of the last page, where later searches for the last page
   start; it is stored with the next version of the head. */
bool audit_append_missing(struct store *store, struct config_head *head,
                          GError **error);

/* Appends a line that the change was refused; why is a short text. Sets the
   head's audit_page in the same way. */
bool audit_append_refusal(struct store *store, struct config_head *head,
                          const struct config_change *change, const char *why,
                          GError **error);

/* Calls on_line for each line, oldest first. If change_id is not NULL, skips
   the lines of other changes. */
bool audit_read(struct store *store, const char *change_id,
                void (*on_line)(void *context, const char *json),
                void *context, GError **error);

#endif
