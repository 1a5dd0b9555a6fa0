#include "core/bytes.h"

#include <glib.h>
#include <string.h>

void
bytes_add_text(GByteArray *out, const char *text)
{
    g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}
