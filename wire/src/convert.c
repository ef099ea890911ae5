#include <wire/convert.h>

GBytes *
wire_pack (xdrproc_t proc, void *value)
{
  gsize size = xdr_sizeof (proc, value);
  g_autofree char *data = g_malloc (size + 1);
  gboolean ok;
  XDR xdr;

  xdrmem_create (&xdr, data, (u_int)size, XDR_ENCODE);
  ok = proc (&xdr, value);
  xdr_destroy (&xdr);
  return ok ? g_bytes_new_take (g_steal_pointer (&data), size) : NULL;
}

gboolean
wire_unpack (xdrproc_t proc, GBytes *bytes, void *value)
{
  gsize size;
  const char *data = g_bytes_get_data (bytes, &size);
  gboolean ok;
  XDR xdr;

  xdrmem_create (&xdr, (char *)data, (u_int)size, XDR_DECODE);
  ok = proc (&xdr, value);
  xdr_destroy (&xdr);
  if (!ok)
    xdr_free (proc, (char *)value);
  return ok;
}
