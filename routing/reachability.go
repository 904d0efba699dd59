package routing

// What the router found out about which workers it can reach, by failure domain.

// SetUnreachable records whether a worker is unreachable, and reports whether
// this changed.
func (f *Fleet) SetUnreachable(w *Worker, unreachable bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := w.unreachable != unreachable
	w.unreachable = unreachable
	return changed
}

// SameDomainWorkers returns the other reachable workers of a worker's failure
// domain.
func (f *Fleet) SameDomainWorkers(w *Worker) []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*Worker
	for _, other := range f.byID {
		if other != w && other.FailureDomain == w.FailureDomain && !other.unreachable {
			list = append(list, other)
		}
	}
	return list
}

// OtherDomainSamples returns one reachable worker of each failure domain that
// is neither the router's nor the worker's.
func (f *Fleet) OtherDomainSamples(w *Worker) []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{f.cfg.Domain: true, w.FailureDomain: true}
	var list []*Worker
	for _, other := range f.byID {
		if !seen[other.FailureDomain] && !other.unreachable {
			seen[other.FailureDomain] = true
			list = append(list, other)
		}
	}
	return list
}

// RemoteReachability returns the number of listed workers in failure domains
// other than the router's, the number of these that are reachable, and the
// number of workers in all domains. Evacuated workers do not count: no request may go
// there, and they may be switched off.
func (f *Fleet) RemoteReachability() (listed, reachable, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.byID {
		if f.isEvacuated(w.FailureDomain) {
			continue
		}
		total++
		if w.FailureDomain == f.cfg.Domain {
			continue
		}
		listed++
		if !w.unreachable {
			reachable++
		}
	}
	return listed, reachable, total
}
