#include "answer-head.h"

#include <string.h>

#include <io/http-types.h>

/* "HTTP/1.1 200", of which the rest is optional: servers without a reason phrase often
   leave out the space before it. */
#define VERSION "HTTP/1."
#define STATUS_AT 9u
#define STATUS_DIGITS 3u
#define STATUS_END (STATUS_AT + STATUS_DIGITS)
/* Lower status codes are of interim answers. */
#define STATUS_FINAL_MIN 200u

typedef enum
{
  AWAITING_STATUS,
  IN_FIELDS,
  IN_TRAILER /* the head of a final answer is complete */
} HeadPart;

struct AnswerHead
{
  HeadPart part;
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
static void
drop_fields (AnswerHead *head)
{
  g_array_unref (head->fields);
  head->fields = http_headers_new ();
}

void
answer_head_clear (AnswerHead *head)
{
  drop_fields (head);
  head->part = AWAITING_STATUS;
  head->status = 0;
}

/* Returns whether a text holds a control character other than a tab. A carriage return
   within a line is one. */
static gboolean
has_control (const char *text, gsize len)
{
  for (gsize i = 0; i < len; i++)
    if (g_ascii_iscntrl (text[i]) && text[i] != '\t')
      return TRUE;
  return FALSE;
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
  if (has_control (line, len))
    return "the status line holds a control character";
  drop_fields (head);
  head->status = status;
  head->part = IN_FIELDS;
  return NULL;
}

static const char *
take_field (AnswerHead *head, const char *line, gsize len)
{
  g_autofree char *text = g_strndup (line, len);
  char *colon = strchr (text, ':');

  if (!colon)
    return "a field has no colon";
  *colon = '\0';
  if (head->part == IN_FIELDS)
    http_headers_add (head->fields, text, g_strstrip (colon + 1));
  return NULL;
}

/* Ends the head at the empty line after it. */
static const char *
end_head (AnswerHead *head)
{
  head->part = head->status < STATUS_FINAL_MIN ? AWAITING_STATUS : IN_TRAILER;
  return NULL;
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
