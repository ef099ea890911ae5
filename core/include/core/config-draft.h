/*
 * A whole configuration that is put together from typed things, and the parts and head
 * that come of it: for a source that holds all of it at once. An operator's changes are
 * plans (core/plan.h), which describe and weigh what they change; this says nothing, and
 * costs a third of the processor time of a plan from nothing.
 */
#ifndef CORE_CONFIG_DRAFT_H
#define CORE_CONFIG_DRAFT_H

#include <core/config.h>

typedef struct ConfigDraft ConfigDraft;

ConfigDraft *config_draft_create (void);
void config_draft_destroy (ConfigDraft *draft);

/*
 * Each is copied. They have to be valid by the limits of core/config.h: names, services
 * that routes name, an account's id once. Of two routes at the same host and prefix the
 * later one holds.
 */
void config_draft_add_service (ConfigDraft *draft, const Service *service);
void config_draft_add_route (ConfigDraft *draft, const Route *route);
void config_draft_add_account (ConfigDraft *draft, const Account *account);
/* `hex` is a key's SHA-256; what is none is passed over. */
void config_draft_add_key (ConfigDraft *draft, const char *hex, const char *account);

/* The parts, of ConfigPart; the draft is empty afterwards. The caller owns them. */
GPtrArray *config_draft_parts (ConfigDraft *draft);

/* The head that names these parts; the caller destroys it. */
ConfigHead *config_draft_head (const GPtrArray *parts, guint64 generation);

#endif
