// Package orders decides which load and unload orders the workers of an
// upstream need (Planner). An order is a command that tells a worker to load or
// unload a model. Workers load models from the weight store; RateLimiter
// enforces the rate limit of that store across all routers through one row of
// the platform's table.
//
// Planner: the orders bring each worker from its reported models to the desired
// ones. A worker gets at most one order at a time. Only reports are used that
// were requested under the current fencing token and after the last order ended.
// Since every report is compared with the desired state, an order of an earlier
// lease holder that an engine executes late is corrected by the next comparison.
//
// RateLimiter: in any window all routers together use at most PerWindow
// tokens, provided that
//   - writes are compare-and-set on the row's version,
//   - each use takes effect within the time passed to Take,
//   - the clock rates of two routers differ by less than half of Margin,
//   - all routers use the same configuration, and nobody deletes the row.
//
// The tokens of a reservation can be used for UseWithin after its write. The
// reservation stays in the row until another window has passed, and its unused
// tokens expire with it. The row contains remaining durations instead of
// timestamps, so routers need no synchronized clocks.
//
// Failures: if the reply to the write of a reservation is lost, its tokens are
// used only after a read shows the reservation in the row. While the table is
// not available there are no new tokens.
//
// Concurrency: a Planner is not safe for concurrent use. A RateLimiter is;
// Reserve does its I/O without holding a lock and returns at once if another
// call is in progress.
//
// Cost: Planner.Next takes time linear in the number of models of the worker.
// The row has at most PerWindow entries of about 80 bytes.
package orders
