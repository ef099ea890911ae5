/*
 * The HTTP status codes used here, named as in RFC 9110 or shorter.
 */
#ifndef CORE_HTTP_STATUS_H
#define CORE_HTTP_STATUS_H

enum
{
  HTTP_OK = 200, /* lower codes are of interim answers */
  HTTP_CREATED = 201,
  HTTP_NO_CONTENT = 204,
  HTTP_NOT_MODIFIED = 304,
  HTTP_BAD_REQUEST = 400,
  HTTP_UNAUTHORIZED = 401,
  HTTP_FORBIDDEN = 403,
  HTTP_NOT_FOUND = 404,
  HTTP_TIMEOUT = 408,
  HTTP_CONFLICT = 409,
  HTTP_GONE = 410,
  HTTP_PRECONDITION_FAILED = 412,
  HTTP_MISDIRECTED = 421,
  HTTP_TOO_MANY = 429,
  HTTP_SERVER_ERROR = 500, /* codes from here on are server errors */
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_GATEWAY_TIMEOUT = 504
};

#endif
