#ifndef CORE_MESSAGE_H
#define CORE_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Messages between entry and agent and between gateways, and their msgpack
   form: an array of the type followed by the fields of that type. */

enum {
    MESSAGE_VERSION = 1,
    MESSAGE_MAX_PREFIXES = 16,
    MESSAGE_NAME_BYTES = 64,
    MESSAGE_PATH_BYTES = 1024,
};

enum message_type {
    MESSAGE_HELLO = 1, /* both ways, first frame on a connection */
    MESSAGE_RESERVE,   /* entry: may this request run with you? */
    MESSAGE_WITHDRAW,  /* entry: the reservation is not needed any more */
    MESSAGE_OFFER,     /* agent: room is held, send the grant */
    MESSAGE_REFUSE,    /* agent: the reservation has ended, not run */
    MESSAGE_GRANT,     /* entry: run it; the body follows */
    MESSAGE_BODY,      /* entry: a part of the request body */
    MESSAGE_HEAD,      /* agent: status and content type of the answer */
    MESSAGE_CHUNK,     /* agent: a part of the answer */
    MESSAGE_END,       /* agent: the answer is complete, or has failed */
    MESSAGE_CREDIT,    /* entry: answer bytes consumed up to an offset */
    MESSAGE_CANCEL,    /* entry: stop the work, nobody waits for it */
    MESSAGE_RESUME,    /* entry: go on from an offset after a cut */
    MESSAGE_ALIVE,     /* agent: work for this link goes on */
    MESSAGE_CONFIG,    /* both ways: a configuration generation */
    MESSAGE_LOAD,      /* agent: prefill that waits, at an interval */
    /* Between gateways. */
    MESSAGE_PEER_LOAD,    /* what the sender has running, see peer_load.h */
    MESSAGE_PEER_ASK,     /* how new is what you know of the store? */
    MESSAGE_PEER_STATE,   /* the answer, with the question's time stamp */
    MESSAGE_SNAPSHOT_ASK, /* send what you know, or what has changed since */
    MESSAGE_SNAPSHOT,     /* the answer, see store_items.h */
    MESSAGE_TYPE_COUNT,
};

enum work_class {
    WORK_PROMPT, /* a prompt for a model engine */
    WORK_PLAIN,  /* a call of a plain service */
    WORK_HOLD,   /* memory of an engine, held for a prompt at another */
    WORK_CLASS_COUNT,
};

/* Unique over the fleet: the incarnation is 64 random bits, chosen when the
   entry starts. */
struct request_id {
    uint64_t incarnation;
    uint64_t counter;
};

/* Which fields are in use depends on the type; see message.c. */
struct message {
    enum message_type type;
    struct request_id id;
    uint32_t attempt;
    uint32_t version;
    uint64_t incarnation; /* of the sending process */
    uint64_t generation;  /* of the configuration */
    char instance[MESSAGE_NAME_BYTES];
    char data_centre[MESSAGE_NAME_BYTES];
    char account[MESSAGE_NAME_BYTES];
    char pool[MESSAGE_NAME_BYTES];
    uint32_t work_class; /* enum work_class */
    uint32_t repeatable; /* 0 or 1 */
    uint64_t prompt_tokens;
    uint64_t max_tokens;
    uint64_t memory_tokens; /* needed at this engine; 0: all of the prompt */
    uint32_t budget_ms;     /* time left, counted from when it was sent */
    uint64_t prefixes[MESSAGE_MAX_PREFIXES]; /* longest first */
    uint32_t prefix_count;
    uint64_t cached_tokens;
    uint64_t load_tokens;
    uint32_t reason;  /* enum reason */
    uint32_t outcome; /* enum outcome */
    uint32_t retry_after_ms;
    char method[MESSAGE_NAME_BYTES];
    char path[MESSAGE_PATH_BYTES];
    char content_type[MESSAGE_NAME_BYTES];
    char memory_parts[MESSAGE_PATH_BYTES]; /* held at other engines */
    uint64_t body_bytes;
    uint64_t offset;     /* of the first byte of data */
    uint64_t checksum;   /* xxh64 of the whole answer body */
    uint32_t status;     /* HTTP status of the answer */
    uint64_t stamp_ms;   /* the asking process's clock at its question */
    uint64_t revision;   /* of the store, up to which the sender knows it */
    uint64_t age_ms;     /* since that revision was known to be the newest */
    uint64_t since;      /* revision from which the changes go on; 0: all */
    const uint8_t *data; /* borrowed: from the caller, or from the frame */
    size_t data_bytes;
};

struct _GByteArray;

/* Appends the frame of a message (length prefix and msgpack) to a buffer. */
void message_encode(const struct message *message, struct _GByteArray *out);

/* Decodes a frame's payload. Returns false, with a static explanation in
 *why, if it isn't a well-formed message. The data borrows from the frame. */
bool message_decode(const uint8_t *payload, size_t payload_bytes,
                    struct message *message, const char **why);

/* Lower-case name of a type, for logs. */
const char *message_type_name(enum message_type type);

bool request_id_equal(struct request_id a, struct request_id b);

#endif
