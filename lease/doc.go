// Package lease holds the state machines that decide who may act for a
// resource: the slot lease of a worker (Lease), which a holder keeps by direct
// promises of a successor, and the order lease of an upstream (FencedLease),
// which is kept by writes to the platform's table and carries a fencing token.
//
// The types decide and do no I/O: the caller reads and writes the row, sends
// renewals and passes results and times in. Every time passed to one value
// comes from one clock; a Lease keeps the monotonic reading and the wall
// reading of a time.Time and uses whichever shows the greater age when the
// right to grant is checked.
//
// Contract: at any moment at most one Lease of a resource reports MayGrant,
// and at most one FencedLease reports MayAct, provided that
//   - writes are compare-and-set on the row's version,
//   - clock rates of two routers differ by less than the margin,
//   - two processes never run at one time under the same router ID,
//   - Adopt is called only with evidence that satisfies Orphaned.
//
// Failure behaviour: a write whose reply was lost stays pending. While it is
// pending the lease is not extended, and the same write is repeated (Retry)
// until a read shows a version above its precondition, since a delayed write
// may still take effect after a read that does not show it.
//
// Concurrency: values are not safe for concurrent use.
//
// Cost: constant time and memory for each call; a Lease takes about 300 bytes.
package lease
