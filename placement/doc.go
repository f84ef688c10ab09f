// Package placement decides which back end holds which model, adapter and
// version, and which orders make an engine follow its placement record.
//
// Plan works on a typed snapshot and returns operations on placement records.
// Reconcile compares one record with what the engine reports and returns the
// orders to send. Neither does I/O nor keeps state between calls: after a lost
// race or a lost order, the next round plans the same change again.
//
// Three rules make it safe for several daemons to act concurrently or with a
// delay:
//
//   - Memory is reserved in the record before any order is sent, and each
//     change of a record is an update conditional on its version.
//   - A reservation ends only when the engine reports that it does not hold the
//     artifact, with a fence (the highest record version of its orders) at or
//     past the record's version. From then on the engine rejects every older
//     order. A late order could still reach an engine that checks no fence, so
//     its reservations end only with the machine.
//   - A replica that keeps a model reachable is first marked as moving. It is
//     released only if a fresh read of another record shows a replica that is
//     held and not moving.
package placement
