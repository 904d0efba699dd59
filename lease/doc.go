// Package lease implements the state machines that decide which router may act
// for a resource. Lease is the slot lease of a worker: its holder keeps it by
// promises that it receives directly from a successor. FencedLease is the order
// lease of an upstream: it is kept by writes to the platform's table and carries
// a fencing token.
//
// The types make decisions and do no I/O. The embedding program reads and writes
// the row, sends renewals, and passes in results and times. All times passed to
// one value must come from one clock. To check whether it may grant, a Lease
// computes the age of its last renewal on both the monotonic and the wall clock
// and uses the greater one.
//
// Contract: at any moment at most one Lease of a resource reports MayGrant, and
// at most one FencedLease reports MayAct, provided that
//   - writes are compare-and-set on the row's version,
//   - the clock rates of two routers differ by less than the margin,
//   - two processes never run at the same time under the same router ID,
//   - Adopt is called only with evidence that satisfies Orphaned.
//
// Failure behaviour: a write whose reply was lost stays pending. While it is
// pending the lease is not extended, and the same write is sent again (Retry)
// until a read shows a version above its precondition, because a delayed write
// may still take effect after a read that does not show it.
//
// Concurrency: values are not safe for concurrent use.
//
// Cost: constant time and memory for each call; a Lease takes about 300 bytes.
package lease
