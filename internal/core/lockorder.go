package core

// Lock order. A goroutine acquires locks in ascending order of their levels and
// holds none during I/O. The comment of each mutex states its level.
//
//	10  plugins/config    delivery of revisions to subscribers
//	20  plugins/peer      membership view
//	30  plugins/peer      slot leases
//	40  plugins/peer      schedulers, one for each upstream
//	50  plugins/dispatch  attempts, worker health
//	55  plugins/orders    order leases and planners
//	60  plugins/upstream  send state of requests; 61 of their connections
//	70  ledger            claim groups
//	90  leaf locks: revision store, registries, metrics, logs; no lock is acquired while one of them is held
