#include "http-server-private.h"

#include <string.h>

/* The size of libmicrohttpd's buffer for an answer, in bytes, besides the body itself. */
#define ANSWER_CHUNK_MAX (32u * 1024)

typedef struct
{
  GBytes *body;
  Conn *conn; /* valid as long as next_chunk is called */
  MemAccount *account;
} Answer;

/* libmicrohttpd asks for more when the socket has room, so the caller has read some. */
static ssize_t
next_chunk (void *data, uint64_t at, char *piece, size_t max)
{
  Answer *answer = data;
  gsize len;
  const char *bytes = g_bytes_get_data (answer->body, &len);
  gsize count = MIN (max, len - at);

  if (at >= len)
    return MHD_CONTENT_READER_END_OF_STREAM;
  memcpy (piece, bytes + at, count);
  if (answer->conn)
    {
      answer->conn->last_read_us = clock_now (loop_clock (answer->conn->server->loop));
      answer->conn->answer_unread = len - at;
    }
  return (ssize_t)count;
}

static void
answer_free (void *data)
{
  Answer *answer = data;

  mem_account_subtract (answer->account, g_bytes_get_size (answer->body));
  mem_account_unref (answer->account);
  g_bytes_unref (answer->body);
  g_free (answer);
}

struct MHD_Response *
http_answer_response (HttpRequest *request, GBytes *body)
{
  gsize len = g_bytes_get_size (body);
  Answer *answer;

  if (len == 0)
    return MHD_create_response_from_buffer (0, NULL, MHD_RESPMEM_PERSISTENT);
  answer = g_new0 (Answer, 1);
  answer->body = g_bytes_ref (body);
  answer->conn = request->conn;
  answer->account = mem_account_ref (request->account);
  mem_account_add (answer->account, len);
  return MHD_create_response_from_callback (len, MIN (len, ANSWER_CHUNK_MAX), next_chunk,
                                            answer, answer_free);
}
