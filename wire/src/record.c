#include <wire/record.h>

#define LAST_FRAGMENT 0x80000000u
#define MARK_SIZE 4u

static guint32
read_mark (const guint8 *p)
{
  return (guint32)p[0] << 24 | (guint32)p[1] << 16 | (guint32)p[2] << 8 | p[3];
}

void
record_append_mark (GByteArray *out, guint32 len)
{
  guint32 mark = GUINT32_TO_BE (LAST_FRAGMENT | len);

  g_byte_array_append (out, (const guint8 *)&mark, MARK_SIZE);
}

gsize
record_missing (const GByteArray *in)
{
  guint32 mark = in->len >= MARK_SIZE ? read_mark (in->data) : 0;
  gsize whole = (gsize)MARK_SIZE + (mark & ~LAST_FRAGMENT);

  if (!(mark & LAST_FRAGMENT))
    return 0;
  return whole > in->len ? whole - in->len : 0;
}

void
record_strip_mark (GByteArray *in)
{
  g_byte_array_remove_range (in, 0, MARK_SIZE);
}

gboolean
record_take_all (GByteArray *in, gsize max)
{
  guint32 mark = in->len >= MARK_SIZE ? read_mark (in->data) : 0;
  gsize len = mark & ~LAST_FRAGMENT;

  if (!(mark & LAST_FRAGMENT) || len > max || len != in->len - MARK_SIZE)
    return FALSE;
  record_strip_mark (in);
  return TRUE;
}

void
record_append (GByteArray *out, const GByteArray *message)
{
  record_append_mark (out, message->len);
  g_byte_array_append (out, message->data, message->len);
}

RecordState
record_take (GByteArray *in, gsize max, GByteArray *message)
{
  gsize at = 0;
  gsize total = 0;
  gboolean last = FALSE;

  while (!last)
    {
      guint32 mark;
      guint32 len;

      if (in->len - at < MARK_SIZE)
        return RECORD_MORE;
      mark = read_mark (in->data + at);
      len = mark & ~LAST_FRAGMENT;
      last = (mark & LAST_FRAGMENT) != 0;
      total += len;
      /* With empty fragments before the last, a peer could keep this loop busy. */
      if (total > max || (len == 0 && !last))
        return RECORD_BAD;
      if (in->len - at - MARK_SIZE < len)
        return RECORD_MORE;
      at += MARK_SIZE + len;
    }

  g_byte_array_set_size (message, 0);
  for (gsize i = 0; i < at;)
    {
      guint32 len = read_mark (in->data + i) & ~LAST_FRAGMENT;

      g_byte_array_append (message, in->data + i + MARK_SIZE, len);
      i += MARK_SIZE + len;
    }
  g_byte_array_remove_range (in, 0, (guint)at);
  return RECORD_READY;
}
