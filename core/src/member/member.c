#include <core/members.h>

gboolean
members_is_alive (const Member *member)
{
  return member->status == MEMBER_ALIVE || member->status == MEMBER_SUSPECT;
}
