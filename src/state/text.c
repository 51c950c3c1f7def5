#include "state/text.h"

#include <string.h>

#include <glib.h>

/** Stands for U+0000. */
#define ENCODED_NUL "\xC0\x80"
#define ENCODED_NUL_BYTES 2

char *
rst_text_encode (const char *bytes, size_t length)
{
  GString *text;

  if (memmem (bytes, length, ENCODED_NUL, ENCODED_NUL_BYTES) != NULL)
    return NULL;
  text = g_string_sized_new (length);
  while (length > 0)
    {
      size_t run = strnlen (bytes, length);

      g_string_append_len (text, bytes, (gssize)run);
      if (run < length)
        g_string_append (text, ENCODED_NUL);
      run = MIN (run + 1, length);
      bytes += run;
      length -= run;
    }
  return g_string_free (text, FALSE);
}

char *
rst_text_decode (const char *text, size_t *length)
{
  char *bytes = g_malloc (strlen (text) + 1);
  const char *nul;

  *length = 0;
  while ((nul = strstr (text, ENCODED_NUL)) != NULL)
    {
      memcpy (bytes + *length, text, (size_t)(nul - text));
      *length += (size_t)(nul - text);
      bytes[(*length)++] = '\0';
      text = nul + ENCODED_NUL_BYTES;
    }
  memcpy (bytes + *length, text, strlen (text) + 1);
  *length += strlen (text);
  return bytes;
}

size_t
rst_text_length (const char *text)
{
  size_t length = strlen (text);

  while ((text = strstr (text, ENCODED_NUL)) != NULL)
    {
      length -= ENCODED_NUL_BYTES - 1;
      text += ENCODED_NUL_BYTES;
    }
  return length;
}
