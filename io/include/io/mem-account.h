/*
 * An account of the memory that requests hold in this process: bodies that are being
 * read, requests in flight and answers that callers have not read. Whoever holds bytes
 * adds them when it allocates them, and subtracts them when it frees them.
 *
 * Large holders may use only a part of the account, so that they cannot shut out
 * everybody else; and less of it for bodies from callers than for what runs, so that a
 * request that has been let in finds room at its target's node.
 */
#ifndef IO_MEM_ACCOUNT_H
#define IO_MEM_ACCOUNT_H

#include <glib.h>

typedef struct MemAccount MemAccount;

/* Holders up to this size, in bytes, may use the whole account. */
#define MEM_ACCOUNT_SMALL (64u * 1024)

/* What a holder holds. */
typedef enum
{
  MEM_CALLER, /* a caller's request: half of the account, if it is large */
  MEM_RUNNING /* a request at its target's node: seven eighths */
} MemUse;

/* Creates an account of `max` bytes. */
MemAccount *mem_account_create (gsize max);
MemAccount *mem_account_ref (MemAccount *account);
void mem_account_unref (MemAccount *account);

/* Adds bytes, also past the bound; NULL is no account. */
void mem_account_add (MemAccount *account, gsize bytes);
void mem_account_subtract (MemAccount *account, gsize bytes);

/* Returns how much all may hold together, as far as a holder of `size` bytes goes. */
gsize mem_account_limit (const MemAccount *account, MemUse use, gsize size);
/* Returns whether `bytes` more fit, for a holder of `size` bytes with them. */
gboolean
mem_account_fits (const MemAccount *account, MemUse use, gsize bytes, gsize size);

gsize mem_account_used (const MemAccount *account);

/* Returns the bytes that an array of `len` bytes takes up. */
gsize mem_account_cost (gsize len);

#endif
