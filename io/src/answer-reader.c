#include "answer-reader.h"

#include <http_parser.h>
#include <string.h>

#include <core/http-status.h>
#include <io/answer-head.h>

#include "answer-bounds.h"
#include "http-chunk.h"

/* A reader between two answers does not hold the memory of a longer line. */
#define LINE_KEPT_MAX 16384u

/* What the next bytes of the answer are. Lines are checked one by one before the parser
   gets them. */
typedef enum
{
  PART_HEAD, /* lines of a head or a trailer */
  PART_BODY, /* which is not in chunks */
  PART_CHUNK_SIZE,
  PART_CHUNK,
  PART_CHUNK_END
} AnswerPart;

struct AnswerReader
{
  AnswerExpected expected;
  http_parser parser;
  AnswerHead *head;
  AnswerPart part;
  GString *line;      /* that is not yet complete */
  guint64 chunk_left; /* bytes */
  guint status;
  GByteArray *body;
  gsize received;    /* bytes */
  gsize content;     /* of them in bodies */
  const char *fault; /* NULL for none */
  gboolean skips;    /* the answer that is being read belongs to another request */
  gboolean surplus;
  gboolean complete;
  gboolean too_large;
  gboolean keeps_alive;
};

static gboolean
is_interim (const AnswerReader *reader)
{
  return !answer_head_is_complete (reader->head);
}

/* Whether a body follows the head (RFC 9112, section 6.3). http_parser would wait for one
   of the length that a 304 tells of another answer. */
static gboolean
has_body (const AnswerReader *reader)
{
  guint status = answer_head_status (reader->head);

  return !reader->expected.no_body && !is_interim (reader) && status != HTTP_NO_CONTENT &&
         status != HTTP_NOT_MODIFIED;
}

static gboolean
is_foreign (const AnswerReader *reader)
{
  const AnswerExpected *expected = &reader->expected;

  return expected->is_foreign && !is_interim (reader) &&
         expected->is_foreign (answer_head_status (reader->head),
                               answer_head_fields (reader->head), expected->data);
}

static int
on_headers_complete (http_parser *parser)
{
  AnswerReader *reader = parser->data;

  reader->status = answer_head_status (reader->head);
  reader->skips = is_foreign (reader);
  reader->surplus |= reader->skips;
  reader->part = parser->flags & F_CHUNKED ? PART_CHUNK_SIZE : PART_BODY;
  return has_body (reader) ? 0 : 1;
}

static int
on_chunk_header (http_parser *parser)
{
  AnswerReader *reader = parser->data;

  reader->chunk_left = parser->content_length;
  /* The last chunk is empty, and a trailer follows it. */
  reader->part = reader->chunk_left > 0 ? PART_CHUNK : PART_HEAD;
  return 0;
}

static int
on_body (http_parser *parser, const char *bytes, size_t len)
{
  AnswerReader *reader = parser->data;

  reader->content += len;
  if (reader->skips ? reader->content > reader->expected.body_max
                    : reader->body->len + len > reader->expected.body_max)
    {
      reader->too_large = TRUE;
      return 1;
    }
  if (reader->skips)
    return 0;
  g_byte_array_append (reader->body, (const guint8 *)bytes, (guint)len);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  AnswerReader *reader = parser->data;

  reader->part = PART_HEAD;
  /* The bytes that follow are not the parser's yet. */
  http_parser_pause (parser, 1);
  if (reader->skips)
    {
      answer_head_clear (reader->head);
      return 0;
    }
  if (is_interim (reader))
    return 0;
  reader->complete = TRUE;
  reader->keeps_alive = http_should_keep_alive (parser) != 0;
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_headers_complete = on_headers_complete,
  .on_chunk_header = on_chunk_header,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

/* Gives bytes to the parser, up to the end of the answer. Returns their number. */
static gsize
feed (AnswerReader *reader, const char *bytes, gsize len)
{
  http_parser *parser = &reader->parser;
  gsize taken = http_parser_execute (parser, &parser_settings, bytes, len);

  if (HTTP_PARSER_ERRNO (parser) == HPE_PAUSED && !reader->complete)
    http_parser_pause (parser, 0);
  return taken;
}

/* Returns why the present line is malformed, or NULL. */
static const char *
check_line (AnswerReader *reader)
{
  const char *line = reader->line->str;
  gsize len = reader->line->len;

  switch (reader->part)
    {
    case PART_CHUNK_SIZE:
      return http_chunk_line_fault (line, len);
    case PART_CHUNK_END:
      reader->part = PART_CHUNK_SIZE;
      return strcmp (line, "\r\n") == 0 ? NULL : "a chunk is longer than its size";
    default:
      return answer_head_take (reader->head, line, len);
    }
}

/* Hands the present line to the parser, without the blanks at its end. For the parser a
   tab there would belong to the value, and chunked with a tab be another coding. */
static void
feed_line (AnswerReader *reader)
{
  GString *line = reader->line;
  gsize len = line->len;

  while (len > 0 && strchr (" \t\r\n", line->str[len - 1]))
    len--;
  g_string_truncate (line, len);
  g_string_append (line, "\r\n");
  feed (reader, line->str, line->len);
}

/* Takes bytes up to the end of a line. Returns their number. */
static gsize
take_line (AnswerReader *reader, const char *bytes, gsize len)
{
  const char *end = memchr (bytes, '\n', len);
  gsize taken = end ? (gsize)(end - bytes) + 1 : len;

  g_string_append_len (reader->line, bytes, (gssize)taken);
  if (!end)
    {
      if (reader->line->len > ANSWER_OVERHEAD_MAX)
        reader->fault = "a line is too long";
      return taken;
    }
  reader->fault = check_line (reader);
  if (!reader->fault)
    feed_line (reader);
  g_string_truncate (reader->line, 0);
  return taken;
}

/* Takes bytes of a chunk. Returns their number. */
static gsize
take_chunk (AnswerReader *reader, const char *bytes, gsize len)
{
  gsize taken = feed (reader, bytes, (gsize)MIN (len, reader->chunk_left));

  reader->chunk_left -= taken;
  if (reader->chunk_left == 0)
    reader->part = PART_CHUNK_END;
  return taken;
}

/* Whether no more of the answer is read. */
static gboolean
has_answer_ended (const AnswerReader *reader)
{
  return reader->fault || reader->complete || reader->too_large ||
         HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK || reader->parser.upgrade;
}

/* Takes bytes of the answer. Returns the number of those that belong to it. */
static gsize
take_bytes (AnswerReader *reader, const char *bytes, gsize len)
{
  gsize taken = 0;

  while (taken < len && !has_answer_ended (reader))
    switch (reader->part)
      {
      case PART_BODY:
        taken += feed (reader, bytes + taken, len - taken);
        break;
      case PART_CHUNK:
        taken += take_chunk (reader, bytes + taken, len - taken);
        break;
      default:
        taken += take_line (reader, bytes + taken, len - taken);
      }
  return taken;
}

/* Returns what is wrong, or NULL. */
static const char *
find_fault (const AnswerReader *reader)
{
  if (reader->too_large)
    return "the answer is too large";
  if (!answer_within_bounds (reader->received, reader->content))
    return "the answer's fields or framing are too large";
  if (reader->fault)
    return reader->fault;
  if (HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK || reader->parser.upgrade)
    return "the answer is malformed";
  return NULL;
}

static AnswerState
state_of (AnswerReader *reader)
{
  if (reader->complete)
    return ANSWER_COMPLETE;
  reader->fault = find_fault (reader);
  if (!reader->fault)
    return ANSWER_READING;
  return reader->too_large ? ANSWER_TOO_LARGE : ANSWER_BROKEN;
}

AnswerState
answer_reader_take (AnswerReader *reader, const char *bytes, gsize len)
{
  reader->received += len;
  if (take_bytes (reader, bytes, len) < len)
    reader->surplus = TRUE;
  return state_of (reader);
}

AnswerState
answer_reader_end (AnswerReader *reader)
{
  /* The parser does not know of a line that has begun. */
  if (reader->line->len == 0)
    feed (reader, NULL, 0);
  if (reader->complete)
    return ANSWER_COMPLETE;
  reader->fault = "the connection ended before the answer";
  return ANSWER_BROKEN;
}

AnswerReader *
answer_reader_create (void)
{
  AnswerReader *reader = g_new0 (AnswerReader, 1);

  reader->head = answer_head_create ();
  reader->line = g_string_new (NULL);
  reader->body = g_byte_array_new ();
  return reader;
}

void
answer_reader_destroy (AnswerReader *reader)
{
  answer_head_destroy (reader->head);
  g_string_free (reader->line, TRUE);
  g_byte_array_unref (reader->body);
  g_free (reader);
}

void
answer_reader_clear (AnswerReader *reader)
{
  answer_head_clear (reader->head);
  if (reader->line->allocated_len > LINE_KEPT_MAX)
    {
      g_string_free (reader->line, TRUE);
      reader->line = g_string_new (NULL);
    }
  g_string_truncate (reader->line, 0);
  g_byte_array_unref (reader->body);
  reader->body = g_byte_array_new ();
}

void
answer_reader_begin (AnswerReader *reader, const AnswerExpected *expected)
{
  reader->expected = *expected;
  http_parser_init (&reader->parser, HTTP_RESPONSE);
  reader->parser.data = reader;
  reader->part = PART_HEAD;
  reader->status = 0;
  reader->received = reader->content = 0;
  reader->fault = NULL;
  reader->skips = reader->surplus = FALSE;
  reader->complete = reader->too_large = reader->keeps_alive = FALSE;
}

const char *
answer_reader_fault (const AnswerReader *reader)
{
  return reader->fault;
}

guint
answer_reader_status (const AnswerReader *reader)
{
  return reader->status;
}

GArray *
answer_reader_fields (const AnswerReader *reader)
{
  return answer_head_fields (reader->head);
}

GByteArray *
answer_reader_body (const AnswerReader *reader)
{
  return reader->body;
}

gboolean
answer_reader_has_surplus (const AnswerReader *reader)
{
  return reader->surplus;
}

gboolean
answer_reader_keeps_alive (const AnswerReader *reader)
{
  return reader->keeps_alive;
}
