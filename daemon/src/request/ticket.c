#include "ticket.h"

#include <string.h>

#include <core/settings.h>

#define FIELDS 9u
#define HEX 16

/* Returns all fields but the MAC, joined by '~', which names cannot contain
   (core/names.h). */
static char *
join_fields (const Ticket *ticket)
{
  return g_strdup_printf ("%s~%" G_GINT64_MODIFIER "x~%" G_GINT64_MODIFIER
                          "x~%s~%s~%s~%" G_GINT64_MODIFIER "x~%" G_GINT64_MODIFIER "x",
                          ticket->attempt->node, ticket->attempt->incarnation,
                          ticket->attempt->counter, ticket->service, ticket->vm,
                          ticket->target, ticket->stamp.incarnation,
                          (guint64)ticket->stamp.reading_us);
}

static char *
seal (const char *words, const char *fleet_token)
{
  return g_compute_hmac_for_string (G_CHECKSUM_SHA256, (const guchar *)fleet_token,
                                    strlen (fleet_token), words, -1);
}

char *
ticket_text (const Ticket *ticket, const char *fleet_token)
{
  g_autofree char *words = join_fields (ticket);
  g_autofree char *mac = seal (words, fleet_token);

  return g_strconcat (words, "~", mac, NULL);
}

static gboolean
read_number (const char *text, guint64 *number)
{
  return g_ascii_string_to_unsigned (text, HEX, 0, G_MAXUINT64, number, NULL);
}

static Ticket *
ticket_from_fields (char **fields)
{
  AttemptId id = { .node = fields[0] };
  guint64 incarnation;
  guint64 reading;
  Ticket *ticket;

  if (!read_number (fields[1], &id.incarnation) ||
      !read_number (fields[2], &id.counter) || !read_number (fields[6], &incarnation) ||
      !read_number (fields[7], &reading))
    return NULL;
  ticket = g_new0 (Ticket, 1);
  ticket->attempt = attempt_id_copy (&id);
  ticket->service = g_strdup (fields[3]);
  ticket->vm = g_strdup (fields[4]);
  ticket->target = g_strdup (fields[5]);
  ticket->stamp.incarnation = incarnation;
  ticket->stamp.reading_us = (gint64)reading;
  return ticket;
}

Ticket *
ticket_parse (const char *text, const char *fleet_token)
{
  g_auto (GStrv) fields = g_strsplit (text, "~", FIELDS + 1);
  const char *last = strrchr (text, '~');
  g_autofree char *words = NULL;
  g_autofree char *mac = NULL;

  if (g_strv_length (fields) != FIELDS)
    return NULL;
  words = g_strndup (text, (gsize)(last - text));
  mac = seal (words, fleet_token);
  return settings_secret_equal (mac, last + 1) ? ticket_from_fields (fields) : NULL;
}

void
ticket_free (Ticket *ticket)
{
  if (!ticket)
    return;
  attempt_id_free (ticket->attempt);
  g_free (ticket->service);
  g_free (ticket->vm);
  g_free (ticket->target);
  g_free (ticket);
}
