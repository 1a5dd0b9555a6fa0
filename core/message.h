#ifndef CORE_MESSAGE_H
#define CORE_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Messages between entries and agents and between gateways, with their
   encoding. An entry is a process that accepts callers' requests, an agent one
   that fronts an endpoint; gateways keep copies of the platform's key-value
   store. A frame is a length prefix of 4 bytes, big-endian, and a payload: a
   msgpack array of the type's number and the fields of that type. */

enum {
    MESSAGE_VERSION = 1, /* of the protocol */
    MESSAGE_MAX_PREFIXES = 16,
    MESSAGE_NAME_BYTES = 64,   /* with the terminating NUL */
    MESSAGE_PATH_BYTES = 1024, /* with the terminating NUL */
};

/* Each comment begins with the sender. */
enum message_type {
    MESSAGE_HELLO = 1, /* both: the first frame on a connection */
    MESSAGE_RESERVE,   /* entry: asks for capacity for a request */
    MESSAGE_WITHDRAW,  /* entry: the reservation is no longer needed */
    MESSAGE_OFFER,     /* agent: holds capacity, waits for the grant */
    MESSAGE_REFUSE,    /* agent: ends the reservation; nothing was run */
    MESSAGE_GRANT,     /* entry: run the request; its body follows */
    MESSAGE_BODY,      /* entry: a part of the request body */
    MESSAGE_HEAD,      /* agent: status and content type of the response */
    MESSAGE_CHUNK,     /* agent: a part of the response body */
    MESSAGE_END,       /* agent: the response is complete or has failed */
    MESSAGE_CREDIT,    /* entry: has consumed the response up to an offset */
    MESSAGE_CANCEL,    /* entry: stop the request, nobody waits for it */
    MESSAGE_RESUME,    /* entry: after a reconnect, continue from an offset */
    MESSAGE_ALIVE,     /* agent: is still running requests of this link */
    MESSAGE_CONFIG,    /* both: a generation of the configuration */
    MESSAGE_LOAD,      /* agent: prefill still to do, sent periodically */
    /* Between gateways; either side sends them. */
    MESSAGE_PEER_LOAD,    /* the sender's running requests, see peer_load.h */
    MESSAGE_PEER_ASK,     /* asks how recent the peer's copy of the store is */
    MESSAGE_PEER_STATE,   /* reply to PEER_ASK, with its time stamp */
    MESSAGE_SNAPSHOT_ASK, /* asks for all of that copy, or its changes */
    MESSAGE_SNAPSHOT,     /* reply to SNAPSHOT_ASK, see store_items.h */
    /* Only between gateways whose hellos have MESSAGE_PEER_CHANGES: as
       SNAPSHOT_ASK, with the revision of the sender's configuration, against
       which patches may be sent; and a part of the reply, from offset on of
       body_bytes. */
    MESSAGE_CHANGES_ASK,
    MESSAGE_CHANGES,
    MESSAGE_TYPE_COUNT,
};

/* Bits of the generation in a gateway's hello: what the gateway can receive.
   Builds that know none send 0 and don't read it. */
enum {
    MESSAGE_PEER_CHANGES = 1 << 0, /* CHANGES_ASK and CHANGES */
    MESSAGE_PEER_ERAS = 1 << 1,    /* revisions with an era */
};

enum work_class {
    WORK_PROMPT, /* a prompt for a model engine */
    WORK_PLAIN,  /* a call of a service that is no model engine */
    WORK_HOLD,   /* holds KV memory of an engine for a prompt at another */
    WORK_CLASS_COUNT,
};

/* Unique among all entries: the incarnation is 64 random bits that the entry
   draws when it starts, and the counter numbers the entry's requests. */
struct request_id {
    uint64_t incarnation;
    uint64_t counter;
};

/* The type determines which fields are used; the table in message.c lists
   them. The others are zero after decoding. */
struct message {
    enum message_type type;
    struct request_id id;
    uint32_t attempt; /* numbers the entry's attempts at the request */
    uint32_t version;
    uint64_t incarnation; /* of the sending process */
    uint64_t generation;  /* of the configuration; of a gateway, see above */
    char instance[MESSAGE_NAME_BYTES];
    char data_centre[MESSAGE_NAME_BYTES];
    char account[MESSAGE_NAME_BYTES];
    char pool[MESSAGE_NAME_BYTES];
    uint32_t work_class; /* enum work_class */
    uint32_t repeatable; /* 1: may run more than once; 0: may not */
    uint64_t prompt_tokens;
    uint64_t max_tokens;
    /* Needed at the agent's engine; 0: prompt_tokens + max_tokens. */
    uint64_t memory_tokens;
    uint32_t budget_ms; /* time left until the deadline, when sent */
    uint64_t prefixes[MESSAGE_MAX_PREFIXES]; /* hashes, longest first */
    uint32_t prefix_count;
    uint64_t cached_tokens; /* of the prompt, in the engine's prefix cache */
    uint64_t load_tokens;   /* prefill still to do at the agent's engine */
    uint32_t reason;        /* enum reason */
    uint32_t outcome;       /* enum outcome */
    uint32_t retry_after_ms;
    char method[MESSAGE_NAME_BYTES];
    char path[MESSAGE_PATH_BYTES];
    char content_type[MESSAGE_NAME_BYTES];
    /* Memory held at other engines: "ID@INSTANCE=TOKENS", separated by ','. */
    char memory_parts[MESSAGE_PATH_BYTES];
    uint64_t body_bytes;
    uint64_t offset;   /* of the first byte of data */
    uint64_t checksum; /* XXH64 of the whole response body */
    uint32_t status;   /* HTTP status of the response */
    uint64_t stamp_ms; /* of the ASK message, by its sender's clock */
    uint64_t revision; /* of the sender's copy, see core/store_revision.h */
    /* Time since that revision was known to be the latest; UINT64_MAX: never,
       or not in its era, which has just begun. */
    uint64_t age_ms;
    uint64_t since; /* only changes after this revision; 0: everything */
    /* Borrowed; in a decoded message it points into the frame. */
    const uint8_t *data;
    size_t data_bytes;
};

struct _GByteArray;

/* Appends the frame of a message, length prefix and payload, to a buffer. */
void message_encode(const struct message *message, struct _GByteArray *out);

/* Decodes a frame's payload. Returns false and sets *why to a static text if
   the payload is not a valid message. message->data points into the payload.
 */
bool message_decode(const uint8_t *payload, size_t payload_bytes,
                    struct message *message, const char **why);

/* Returns the lower-case name of a type for logs. */
const char *message_type_name(enum message_type type);

bool request_id_equal(struct request_id a, struct request_id b);

#endif
