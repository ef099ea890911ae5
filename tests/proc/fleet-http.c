#include "fleet.h"

#include <curl/curl.h>
#include <string.h>

/* Longer than any answer may take, so that a broken test does not hang. */
#define CALL_TIMEOUT_S 60L

static size_t
on_body (char *bytes, size_t size, size_t count, void *data)
{
  g_string_append_len (data, bytes, (gssize)(size * count));
  return size * count;
}

static size_t
on_header (char *bytes, size_t size, size_t count, void *data)
{
  Answer *answer = data;
  g_autofree char *line = g_strndup (bytes, size * count);
  char *colon = strchr (line, ':');

  if (!colon)
    return size * count;
  *colon = '\0';
  if (g_ascii_strcasecmp (line, "Switchmill-Outcome") == 0)
    answer->outcome = g_strstrip (g_strdup (colon + 1));
  if (g_ascii_strcasecmp (line, "Switchmill-Ticket") == 0)
    answer->ticket = g_strstrip (g_strdup (colon + 1));
  if (g_ascii_strcasecmp (line, "Connection") == 0)
    answer->connection = g_strstrip (g_strdup (colon + 1));
  if (g_ascii_strcasecmp (line, "Retry-After") == 0)
    answer->retry_after = g_strstrip (g_strdup (colon + 1));
  return size * count;
}

Answer *
fleet_http (const char *address,
            const char *method,
            const char *path,
            const char *const *lines,
            const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  GString *text = g_string_new (NULL);
  Answer *answer = g_new0 (Answer, 1);
  CURL *easy = curl_easy_init ();

  for (guint i = 0; lines && lines[i]; i++)
    headers = curl_slist_append (headers, lines[i]);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, CALL_TIMEOUT_S);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, answer);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  if (body)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &answer->status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  answer->body = g_string_free (text, FALSE);
  if (!answer->outcome)
    answer->outcome = g_strdup ("");
  if (!answer->connection)
    answer->connection = g_strdup ("");
  return answer;
}

static Answer *
call (const char *address,
      const char *method,
      const char *path,
      const char *header,
      const char *second,
      const char *body)
{
  const char *headers[] = { header ? header : second, header ? second : NULL, NULL };

  return fleet_http (address, method, path, headers, body);
}

void
answer_free (Answer *answer)
{
  g_free (answer->outcome);
  g_free (answer->retry_after);
  g_free (answer->ticket);
  g_free (answer->connection);
  g_free (answer->body);
  g_free (answer);
}

Answer *
fleet_call (Fleet *fleet,
            guint node,
            const char *method,
            const char *path,
            const char *id,
            const char *body)
{
  g_autofree char *address = fleet_address ("callers", node);
  g_autofree char *header = g_strconcat ("X-Request-Id: ", id, NULL);

  return call (address, method, path, header, NULL, body);
}

Answer *
fleet_call_ticket (Fleet *fleet,
                   guint node,
                   const char *path,
                   const char *id,
                   const char *ticket,
                   const char *body)
{
  g_autofree char *address = fleet_address ("callers", node);
  g_autofree char *header = g_strconcat ("X-Request-Id: ", id, NULL);
  g_autofree char *second = g_strconcat ("Switchmill-Ticket: ", ticket, NULL);

  return call (address, "POST", path, header, second, body);
}

Answer *
fleet_call_operators (
    Fleet *fleet, guint node, const char *method, const char *path, const char *body)
{
  g_autofree char *address = fleet_address ("operators", node);

  return call (address, method, path, "Authorization: Bearer " FLEET_TOKEN, NULL, body);
}
