package core

// Lock order. A goroutine takes locks only in rising level and holds none
// across I/O. Each mutex's comment names its level.
//
//	10  plugins/config    delivery of revisions to subscribers
//	20  plugins/peer      membership view
//	30  plugins/peer      slot leases
//	40  plugins/peer      schedulers, one for each upstream
//	50  plugins/dispatch  attempts
//	55  plugins/orders    order leases and plans
//	60  plugins/upstream  worker health
//	70  ledger            claim groups
//	90  leaf locks: revision store, registries, metrics, logs; nothing is taken under them
