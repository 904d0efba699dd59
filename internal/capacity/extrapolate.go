package capacity

import "time"

// Report extrapolates the fits to the target size and checks the limits. A check
// is included if all lines it uses were measured.
func (m *Measurements) Report() *Report {
	r := &Report{Lines: m.Lines}
	m.checkTraffic(r)
	m.checkPlatformRequests(r)
	m.checkCPU(r)
	m.checkMemory(r)
	return r
}

// measured reports whether all lines with these names have points.
func (m *Measurements) measured(names ...string) bool {
	for _, name := range names {
		if len(m.Find(name).Points) == 0 {
			return false
		}
	}
	return true
}

// checkTraffic adds up the control traffic. Traffic sent and traffic received are
// compared with the limit separately, since links carry both directions at the
// same time and a byte between two routers would count twice in the sum.
func (m *Measurements) checkTraffic(r *Report) {
	if !m.measured("peer over routers", "peer over requests", "peer over domains", "platform received over domains", "load reports sent over workers", "bytes received for one change") {
		return
	}
	held := float64(targetWorkers) / targetRouters
	requests := targetRequestsPerSecond / targetRouters
	changes := targetChangesPerDay / (24 * time.Hour).Seconds()
	overRouters, overDomains := m.Find("peer over routers"), m.Find("peer over domains")
	peer := r.addFigure("peer traffic without requests, each way", "B/s", overRouters.Predict(targetDomainRouters)+max(0, overDomains.Slope)*(targetDomains-1), "line over routers at 22 + slope over domains x 17")
	calls := r.addFigure("slot requests and releases, each way", "B/s", m.Find("peer over requests").Slope*requests, "slope over requests x 2.375")
	const domainRouters = 3 // routers per domain in the fleets of the fit over domains
	platformReceived := m.Find("platform received over domains")
	platformReplies := r.addFigure("platform replies received", "B/s", platformReceived.Intercept+platformReceived.Slope/domainRouters*targetRouters, "base + slope over domains / 3 routers x 400")
	platformRequests := r.addFigure("platform requests sent", "B/s", m.Find("platform sent over domains").Predict(1), "line over domains at 1")
	reportRequests := r.addFigure("load report requests sent", "B/s", m.Find("load reports sent over workers").Predict(held), "line over workers held at 2.75")
	reportReplies := r.addFigure("load reports received", "B/s", m.Find("load reports received over workers").Predict(held), "line over workers held at 2.75")
	changeBytes := m.Find("bytes received for one change")
	change := r.addFigure("configuration changes received", "B/s", changeBytes.Predict(targetWorkers+targetCallers)*changes, "line over objects at 2,100 x 0.022 changes/s")
	out, in := peer+calls+platformRequests+reportRequests+change, peer+calls+platformReplies+reportReplies+change
	r.addFigure("control traffic, sent and received together", "B/s", out+in, "sum of both directions")
	r.addCheck("control traffic sent", "B/s", out, maxTrafficPerSecond, "peer + slots + platform requests + report requests + chunks served")
	r.addCheck("control traffic received", "B/s", in, maxTrafficPerSecond, "peer + slots + platform replies + load reports + changes")
}

// checkPlatformRequests adds up the requests of all routers to the platform.
func (m *Measurements) checkPlatformRequests(r *Report) {
	if !m.measured("platform reads over routers", "platform reads of one change") {
		return
	}
	changes := targetChangesPerDay / (24 * time.Hour).Seconds()
	idle := r.addFigure("platform reads without changes, all routers", "1/s", m.Find("platform reads over routers").Predict(targetDomainRouters)*targetRouters, "line over routers at 22 x 400")
	change := r.addFigure("platform reads for changes, all routers", "1/s", m.Find("platform reads of one change").Predict(targetWorkers+targetCallers)*targetRouters*changes, "line over objects at 2,100 x 400 x 0.022")
	r.addCheck("platform reads a second", "1/s", idle+max(0, change), maxReadsPerSecond, "idle + changes")
	r.addCheck("platform writes a second, without once-requests", "1/s", max(0, m.Find("platform writes over routers").Predict(targetDomainRouters))*targetRouters+changes, maxWritesPerSecond, "line over routers at 22 x 400 + changes")
}

// checkCPU adds up the CPU time of control work.
func (m *Measurements) checkCPU(r *Report) {
	if !m.measured("processor time without requests", "processor time, both sides: slot request and release", "follower: fetch, verify and decode one change") {
		return
	}
	idle := r.addFigure("periodic work", "us/s", m.Find("processor time without requests").Predict(targetDomainRouters), "line over routers of the process at 22")
	requests := targetRequestsPerSecond / targetRouters
	calls := r.addFigure("slot requests and releases, both sides", "us/s", requests*(m.Find("processor time, both sides: slot request and release").Slope), "2.375 x slope")
	members := r.addFigure("member lists of 400 routers", "us/s", memberListsPerSecond*m.Find("list the members of a view").Predict(targetRouters), "20 lists a second x line at 400")
	changes := r.addFigure("configuration changes", "us/s", targetChangesPerDay/86400*m.Find("follower: fetch, verify and decode one change").Predict(targetCallers), "0.022 x line at 1,000 callers")
	r.addCheck("processor time of control work", "core", (idle+calls+members+changes)/1e6, maxCPUShare, "sum of the four rows")
	if f := m.Find("processor time of a request"); len(f.Points) > 0 {
		r.addFigure("data path: forwarded tokens", "us/s", targetTokensPerSecond/targetRouters*f.Slope, "1,050 tokens/s x slope over chunks")
		r.addFigure("data path: requests", "us/s", requests*f.Intercept, "2.375 x base")
	}
}

// memberListsPerSecond is how often a router lists its members: three times in each
// round of the lease loop, which runs every 200 ms, and for other purposes.
const memberListsPerSecond = 20

// checkMemory adds up the memory that control work uses in a router.
func (m *Measurements) checkMemory(r *Report) {
	if !m.measured("memory of the process", "memory of the configuration held", "memory of a view") {
		return
	}
	process := m.Find("memory of the process")
	base := r.addFigure("process without streams", "B", process.Intercept, "base over open streams")
	set := r.addFigure("configuration held", "B", 2*m.Find("memory of the configuration held").Predict(targetCallers), "2 x line at 1,000 callers, while a change is applied")
	view := r.addFigure("view of 400 routers", "B", m.Find("memory of a view").Predict(targetRouters), "line at 400")
	queue := r.addFigure("200 waiting requests, a workspace each", "B", 200*m.Find("memory of the queue, workspace each").Slope, "200 x slope")
	r.addFigure("data path: open streams", "B", process.Slope*targetInFlight/targetRouters, "slope x 28.5")
	r.addCheck("memory of control work", "B", base+set+view+queue, maxMemoryBytes, "sum of the four rows")
}
