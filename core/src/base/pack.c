#include <core/pack.h>

#include <gio/gio.h>

/* The fastest level; it compresses a shard of routes to one seventh. */
#define PACK_LEVEL 1
#define PACK_STEP 16384u

/* Returns the whole output of `converter` for `from`; NULL when it fails or the output
   exceeds `most` bytes. */
static GBytes *
convert (GConverter *converter, GBytes *from, gsize most)
{
  g_autoptr (GByteArray) made = g_byte_array_new ();
  gsize left;
  const guint8 *at = g_bytes_get_data (from, &left);
  GConverterResult result = G_CONVERTER_CONVERTED;

  while (result == G_CONVERTER_CONVERTED)
    {
      gsize held = made->len;
      gsize taken = 0;
      gsize given = 0;

      g_byte_array_set_size (made, (guint)held + PACK_STEP);
      result = g_converter_convert (converter, at, left, made->data + held, PACK_STEP,
                                    G_CONVERTER_INPUT_AT_END, &taken, &given, NULL);
      g_byte_array_set_size (made, (guint)(held + given));
      if (result == G_CONVERTER_ERROR || made->len > most)
        return NULL;
      at += taken;
      left -= taken;
    }
  return g_byte_array_free_to_bytes (g_steal_pointer (&made));
}

GBytes *
pack_compress (GBytes *text)
{
  g_autoptr (GZlibCompressor) packer =
      g_zlib_compressor_new (G_ZLIB_COMPRESSOR_FORMAT_RAW, PACK_LEVEL);

  return convert (G_CONVERTER (packer), text, G_MAXSIZE);
}

GBytes *
pack_decompress (GBytes *packed, gsize most)
{
  g_autoptr (GZlibDecompressor) opener =
      g_zlib_decompressor_new (G_ZLIB_COMPRESSOR_FORMAT_RAW);

  return convert (G_CONVERTER (opener), packed, most);
}
