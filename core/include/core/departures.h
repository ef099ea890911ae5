/*
 * The starts of targets that have announced their end, by VM. An announced end is final:
 * a heartbeat that was sent before it may arrive seconds later, after the node on the VM
 * has restarted and knows nothing of the target. Every node therefore remembers the ends
 * of all VMs, ignores later registrations of these starts, and tells the node on the VM.
 *
 * The end of a start is also that of all earlier starts of the same identifier
 * (target_start_is_up_to).
 */
#ifndef CORE_DEPARTURES_H
#define CORE_DEPARTURES_H

#include <core/clock.h>

/* Starts remembered for each VM; the oldest is dropped first. */
#define DEPARTURES_PER_VM_MAX 4u

typedef struct Departures Departures;

/* `clock` is borrowed. */
Departures *departures_create (Clock *clock);
void departures_destroy (Departures *departures);

/*
 * Records that `start`, a name as of target_start_name, on `vm` has announced its end.
 * Returns TRUE if the end was not known. Ends that it includes are dropped.
 */
gboolean departures_add (Departures *departures, const char *vm, const char *start);

gboolean
departures_contains (const Departures *departures, const char *vm, const char *start);

/*
 * Stores the starts of `vm` in `starts`, the latest first, and returns their number. The
 * names are borrowed until the next departures_add.
 */
guint departures_of_vm (const Departures *departures,
                        const char *vm,
                        const char *starts[DEPARTURES_PER_VM_MAX]);

#endif
