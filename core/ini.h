#ifndef CORE_INI_H
#define CORE_INI_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Reads INI text into structs that tables of keys describe. The functions add
   each error to a GPtrArray as an allocated text,
   "file:line: [section].key: message". */

struct ini;
struct _GPtrArray;

enum ini_kind {
    INI_TEXT,        /* char * */
    INI_NAME,        /* char *: letters, digits, '.', '_', '-'; up to 63 */
    INI_LIST,        /* char **, NULL-terminated; written with ';' between */
    INI_ADDRESS,     /* struct ini_address: IPv4 address ':' port */
    INI_ADDRESSES,   /* char **: an INI_LIST of addresses */
    INI_DURATION_MS, /* uint64_t: a decimal number with the unit ms, s, min or
                        h; parts of a millisecond are dropped */
    INI_BYTES,       /* uint64_t: a number with the unit B, KiB, MiB or GiB */
    INI_COUNT,       /* uint64_t: a number without a unit */
    INI_PERCENT,     /* uint64_t: a number with % */
    INI_FRACTION,    /* uint64_t, in millionths: a decimal number */
    INI_BOOL,        /* uint64_t: yes or no */
    INI_CHOICE,      /* uint64_t: the index in choices */
};

enum {
    INI_FRACTION_ONE = 1000000 /* value of an INI_FRACTION of 1 */
};

struct ini_address {
    char *ip;
    uint16_t port;
};

struct ini_key {
    const char *name;
    enum ini_kind kind;
    size_t offset;              /* of the field in the struct */
    const char *default_text;   /* NULL: the key is required; "": it is
                                   optional, its field stays 0 or NULL */
    uint64_t min;               /* least number, in the unit of the kind */
    uint64_t max;               /* 0: no limit */
    const char *const *choices; /* of INI_CHOICE; NULL-terminated */
};

/* Parses text. Returns NULL and adds an error if it is not valid INI. Also
   adds an error for each repeated section or key. file is the name that error
   messages show. */
struct ini *ini_create(const char *text, const char *file,
                       struct _GPtrArray *errors);
void ini_destroy(struct ini *ini);

/* Returns the section names in the order of the file, NULL-terminated; owned
   by ini. */
const char *const *ini_sections(const struct ini *ini);

/* Fills the struct out from a section. A missing key gets its default, and is
   an error if it is required. A missing section counts as empty. An unknown
   key is an error. Returns false if it added errors. out owns the texts and
   lists: free them with ini_clear(). */
bool ini_read(const struct ini *ini, const char *section,
              const struct ini_key *keys, size_t key_count, void *out,
              struct _GPtrArray *errors);

/* Frees what ini_read() allocated in a struct, but not the struct. */
void ini_clear(const struct ini_key *keys, size_t key_count, void *out);

/* Adds an error about a key, or about the section if key is NULL. */
void ini_error(const struct ini *ini, const char *section, const char *key,
               struct _GPtrArray *errors, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/* Parses "ip:port" with an IPv4 address. Returns false if the text is not
   valid. Free out->ip with g_free(). */
bool ini_parse_address(const char *text, struct ini_address *out);

/* The same, of a process to connect to: the address is that of one host and
   the port is above 0. */
bool ini_parse_target(const char *text, struct ini_address *out);

/* Parses a decimal number with the unit ms, s, min or h; parts of a
   millisecond are dropped. Returns false if the text is not valid. */
bool ini_parse_duration_ms(const char *text, uint64_t *out_ms);

#endif
