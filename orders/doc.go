// Package orders decides which load and unload orders the workers of an
// upstream need (Plan), and shares the weight store's rate limit between all
// routers through one row of the platform's table (Rate).
//
// Contract of Plan: it names orders that lead from the reported models of each
// worker to the wanted ones, at most one at a time for each worker, and only
// from reports asked for under the present fencing token and after the last
// order ended. Since each report is compared anew, an order of an earlier
// holder that an engine carries out late is corrected by the next comparison.
//
// Contract of Rate: in any window at most PerWindow tokens are used by all
// routers together, provided that
//   - writes are compare-and-set on the row's version,
//   - each use takes effect within the time that Take was given,
//   - clock rates of two routers differ by less than half the margin,
//   - all routers use the same configuration, and nobody deletes the row.
//
// A reservation is used within UseWithin of its write and stays in the row until a
// window has passed after that. Unused tokens expire with it. The row carries
// times to run and no times of day, so routers need no common clock.
//
// Failure behaviour: a reservation whose reply was lost is used once a read
// shows it in the row, and never otherwise. While the table does not answer
// there are no new tokens.
//
// Concurrency: a Plan is not safe for concurrent use. A Rate is; Reserve does
// its I/O without a lock and returns at once when another call is under way.
//
// Cost: a Plan takes time in proportion to the models of the worker in
// question. The row has at most PerWindow entries of about 80 bytes.
package orders
