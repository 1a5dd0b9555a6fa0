#ifndef IO_CONFIG_MESSAGE_H
#define IO_CONFIG_MESSAGE_H

#include <stdbool.h>

/* Messages by which processes send each other the configuration. */

struct config;
struct message;

/* Publishes a received configuration if its generation, the number of its
   version, is higher than that of the configuration in force. source names the
   sender in the log. Returns whether the configuration was published. */
bool config_message_apply(const struct message *message, const char *source);

/* Fills a message with a configuration. Returns false if config is NULL. The
   message borrows its data from config. */
bool config_message_fill(const struct config *config, struct message *out);

#endif
