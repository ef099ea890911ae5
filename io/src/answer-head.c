#include <io/answer-head.h>

#include <string.h>

#include <core/http-status.h>
#include <io/http-types.h>

#include "http-framing.h"
#include "http-grammar.h"

/* "HTTP/1.1 200", of which the rest is optional: servers without a reason phrase often
   leave out the space before it. */
#define VERSION "HTTP/1."
#define STATUS_AT 9u
#define STATUS_DIGITS 3u
#define STATUS_END (STATUS_AT + STATUS_DIGITS)

typedef enum
{
  AWAITING_STATUS,
  IN_FIELDS,
  IN_TRAILER /* the head of a final answer is complete */
} HeadPart;

struct AnswerHead
{
  HeadPart part;
  guint minor; /* version of HTTP */
  guint status;
  GArray *fields;
};

AnswerHead *
answer_head_create (void)
{
  AnswerHead *head = g_new0 (AnswerHead, 1);

  head->fields = http_headers_new ();
  return head;
}

void
answer_head_destroy (AnswerHead *head)
{
  g_array_unref (head->fields);
  g_free (head);
}

/* Fields that were handed out stay with their holders. */
void
answer_head_clear (AnswerHead *head)
{
  g_array_unref (head->fields);
  head->fields = http_headers_new ();
  head->part = AWAITING_STATUS;
  head->status = 0;
}

static const char *
take_status_line (AnswerHead *head, const char *line, gsize len)
{
  guint status = 0;

  if (len < STATUS_END || memcmp (line, VERSION, strlen (VERSION)) != 0 ||
      !g_ascii_isdigit (line[strlen (VERSION)]) || line[STATUS_AT - 1] != ' ')
    return "the status line is malformed";
  for (gsize i = STATUS_AT; i < STATUS_END; i++)
    {
      if (!g_ascii_isdigit (line[i]))
        return "the status is not a number of three digits";
      status = status * 10 + (guint)g_ascii_digit_value (line[i]);
    }
  if ((len > STATUS_END && line[STATUS_END] != ' ') || !http_status_is_valid (status))
    return "the status is invalid";
  if (http_has_control (line, len))
    return "the status line holds a control character";
  /* Those of an interim answer. */
  g_array_set_size (head->fields, 0);
  head->minor = (guint)g_ascii_digit_value (line[strlen (VERSION)]);
  head->status = status;
  head->part = IN_FIELDS;
  return NULL;
}

/* A line that begins with a blank has no name. It would continue the line before it,
   which only requests and answers in media of the type message/http may do (RFC 9112,
   section 5.2). */
static const char *
take_field (AnswerHead *head, const char *line, gsize len)
{
  const char *colon = memchr (line, ':', len);
  gsize name_len = colon ? (gsize)(colon - line) : 0;
  HttpHeader field;

  if (!http_is_token (line, name_len))
    return "a field's name is no token";
  if (http_has_control (line, len))
    return "a field's value holds a control character";
  if (head->part != IN_FIELDS)
    return NULL;
  field.name = g_strndup (line, name_len);
  field.value = g_strstrip (g_strndup (colon + 1, len - name_len - 1));
  g_array_append_val (head->fields, field);
  return NULL;
}

/* Ends the head at the empty line after it. */
static const char *
end_head (AnswerHead *head)
{
  head->part = head->status < HTTP_OK ? AWAITING_STATUS : IN_TRAILER;
  return http_framing_answer_fault (head->minor, head->status, head->fields);
}

/* Returns the length of a line without its terminator; a single LF is one, too (RFC 9112,
   section 2.2). */
static gsize
strip_terminator (const char *line, gsize len)
{
  if (len > 0 && line[len - 1] == '\n')
    len--;
  return len > 0 && line[len - 1] == '\r' ? len - 1 : len;
}

const char *
answer_head_take (AnswerHead *head, const char *line, gsize len)
{
  len = strip_terminator (line, len);
  /* An empty line before an answer belongs to none, and does no harm. */
  if (len == 0)
    return head->part == IN_FIELDS ? end_head (head) : NULL;
  return head->part == AWAITING_STATUS ? take_status_line (head, line, len)
                                       : take_field (head, line, len);
}

gboolean
answer_head_is_complete (const AnswerHead *head)
{
  return head->part == IN_TRAILER;
}

guint
answer_head_status (const AnswerHead *head)
{
  return head->status;
}

GArray *
answer_head_fields (const AnswerHead *head)
{
  return head->fields;
}
