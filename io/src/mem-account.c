#include <io/mem-account.h>

/* From this size on an array has a mapping of its own, of which only the pages in use
   take up memory; a smaller one is allocated in powers of two. */
#define MAPPED_MIN (256u * 1024)
#define PAGE 4096u

struct MemAccount
{
  gatomicrefcount refs;
  gsize max;
  gsize used;
};

MemAccount *
mem_account_create (gsize max)
{
  MemAccount *account = g_new0 (MemAccount, 1);

  g_atomic_ref_count_init (&account->refs);
  account->max = max;
  return account;
}

MemAccount *
mem_account_ref (MemAccount *account)
{
  if (account)
    g_atomic_ref_count_inc (&account->refs);
  return account;
}

void
mem_account_unref (MemAccount *account)
{
  if (account && g_atomic_ref_count_dec (&account->refs))
    g_free (account);
}

void
mem_account_add (MemAccount *account, gsize bytes)
{
  if (account)
    account->used += bytes;
}

void
mem_account_subtract (MemAccount *account, gsize bytes)
{
  if (!account)
    return;
  g_return_if_fail (bytes <= account->used);
  account->used -= bytes;
}

gsize
mem_account_limit (const MemAccount *account, MemUse use, gsize size)
{
  if (!account)
    return G_MAXSIZE;
  if (size <= MEM_ACCOUNT_SMALL)
    return account->max;
  return use == MEM_CALLER ? account->max / 2 : account->max - account->max / 8;
}

gboolean
mem_account_fits (const MemAccount *account, MemUse use, gsize bytes, gsize size)
{
  gsize limit = mem_account_limit (account, use, size);
  gsize used = mem_account_used (account);

  return used <= limit && bytes <= limit - used;
}

gsize
mem_account_used (const MemAccount *account)
{
  return account ? account->used : 0;
}

gsize
mem_account_cost (gsize len)
{
  gsize cost = 16;

  if (len == 0)
    return 0;
  if (len >= MAPPED_MIN)
    return (len + PAGE - 1) / PAGE * PAGE;
  while (cost < len)
    cost *= 2;
  return cost;
}
