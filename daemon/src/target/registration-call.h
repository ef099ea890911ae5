/*
 * The calls by which targets register themselves (registry.h), as read from requests.
 */
#ifndef DAEMON_REGISTRATION_CALL_H
#define DAEMON_REGISTRATION_CALL_H

#include <core/json-view.h>
#include <io/http-server.h>

typedef struct
{
  gboolean leave; /* a leave; the members below but `born` are of heartbeats */
  char *identifier;
  gint64 born; /* start time in Unix milliseconds; 0 if not reported */
  char *service;
  char *version; /* of the software, "" if not reported */
  guint slots;
  gboolean leaving;
  gint64 sequence;
  gint64 cold_us;
} RegistrationCall;

/* Reads what the method and the path give. Returns NULL if they are of no such call. */
RegistrationCall *registration_call_create (const HttpRequest *request);
void registration_call_destroy (RegistrationCall *call);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (RegistrationCall, registration_call_destroy)

/* Reads the body. Returns FALSE and adds to `faults` if it is not valid. */
gboolean registration_call_read_body (RegistrationCall *call,
                                      const GByteArray *body,
                                      JsonFaults *faults);

#endif
