package core

// Lock order. A goroutine acquires locks in ascending order of their levels and
// holds none during I/O. The comment of each mutex states its level.
//
//	 5  kernel            calls of settings subscribers
//	 5  platform          registrations of workers
//	10  plugins/config    calls of revision subscribers
//	10  platform          calls of subscribers of revisions and worker lists
//	20  plugins/peer      membership view
//	20  plugins/gossip    membership view
//	30  plugins/peer      slot leases
//	40  plugins/peer      schedulers, one for each upstream
//	50  plugins/dispatch  attempts, worker health
//	55  plugins/orders    order leases and planners
//	55  plugins/gateway   isolation state, upstreams of admission control, log of cold workers
//	60  plugins/upstream  send state of requests; the state of their connections has level 61
//	60  routing           worker list, loads and retry budgets of a Fleet
//	70  ledger            pending writes and background jobs
//	85  internal/connlimit  connections and admitted requests of a process
//	90  leaf locks: revision store, registries, metrics, logs; no lock is acquired while one of them is held
