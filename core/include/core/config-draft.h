/*
 * Builds the parts and the head of a whole configuration from its services, routes,
 * accounts and keys, for a source that has all of them at once. Operators' changes use
 * plans (core/plan.h), which describe the changes and check the capacity. A draft does
 * neither, and takes a third of the CPU time of a plan on an empty configuration.
 */
#ifndef CORE_CONFIG_DRAFT_H
#define CORE_CONFIG_DRAFT_H

#include <core/config.h>

typedef struct ConfigDraft ConfigDraft;

ConfigDraft *config_draft_create (void);
void config_draft_destroy (ConfigDraft *draft);

/*
 * Each function copies its argument. The draft does not validate: names must be valid,
 * services named by routes must exist, account ids must be unique, and the limits of
 * core/config.h must hold. A route replaces an earlier one with the same host and prefix.
 */
void config_draft_add_service (ConfigDraft *draft, const Service *service);
void config_draft_add_route (ConfigDraft *draft, const Route *route);
void config_draft_add_account (ConfigDraft *draft, const Account *account);
/* `hex` is the SHA-256 of an access key. An invalid digest is ignored. */
void config_draft_add_key (ConfigDraft *draft, const char *hex, const char *account);

/* Returns the parts, of ConfigPart, and empties the draft. The caller owns the array. */
GPtrArray *config_draft_parts (ConfigDraft *draft);

/* Returns a head that lists these parts; the caller destroys it. */
ConfigHead *config_draft_head (const GPtrArray *parts, guint64 generation);

#endif
