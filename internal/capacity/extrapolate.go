package capacity

import "time"

// Report extrapolates the lines to the target size and checks the limits. A
// check appears when all its lines were measured.
func (s *Slopes) Report() *Report {
	r := &Report{Lines: s.Lines}
	s.traffic(r)
	s.reads(r)
	s.processor(r)
	s.memory(r)
	return r
}

func (s *Slopes) has(names ...string) bool {
	for _, name := range names {
		if len(s.Find(name).Points) == 0 {
			return false
		}
	}
	return true
}

// traffic adds up the control traffic. Sent and received are compared with the
// limit each for itself: links carry both directions at the same time, and a
// byte between two routers would count twice in the sum.
func (s *Slopes) traffic(r *Report) {
	if !s.has("peer over routers", "peer over requests", "peer over domains", "platform received over domains", "load reports sent over workers", "bytes received for one change") {
		return
	}
	held := float64(targetWorkers) / targetRouters
	requests := targetRequests / targetRouters
	changes := targetChangesDay / (24 * time.Hour).Seconds()
	domain, domains := s.Find("peer over routers"), s.Find("peer over domains")
	peer := r.figure("peer traffic without requests, each way", "B/s", domain.At(targetDomainRouters)+max(0, domains.Slope)*(targetDomains-1), "line over routers at 22 + slope over domains x 17")
	calls := r.figure("slot requests and releases, each way", "B/s", s.Find("peer over requests").Slope*requests, "slope over requests x 2.375")
	const domainRouters = 3 // in the fleets of the line over domains
	received := s.Find("platform received over domains")
	listed := r.figure("platform replies received", "B/s", received.Base+received.Slope/domainRouters*targetRouters, "base + slope over domains / 3 routers x 400")
	sent := r.figure("platform requests sent", "B/s", s.Find("platform sent over domains").At(1), "line over domains at 1")
	reports := r.figure("load report requests sent", "B/s", s.Find("load reports sent over workers").At(held), "line over workers held at 2.75")
	loads := r.figure("load reports received", "B/s", s.Find("load reports received over workers").At(held), "line over workers held at 2.75")
	set := s.Find("bytes received for one change")
	change := r.figure("configuration changes received", "B/s", set.At(targetWorkers+targetCallers)*changes, "line over objects at 2,100 x 0.022 changes/s")
	out, in := peer+calls+sent+reports+change, peer+calls+listed+loads+change
	r.figure("control traffic, sent and received together", "B/s", out+in, "sum of both directions")
	r.check("control traffic sent", "B/s", out, limitBytes, "peer + slots + platform requests + report requests + chunks served")
	r.check("control traffic received", "B/s", in, limitBytes, "peer + slots + platform replies + load reports + changes")
}

// reads adds up the requests to the platform of all routers.
func (s *Slopes) reads(r *Report) {
	if !s.has("platform reads over routers", "platform reads of one change") {
		return
	}
	changes := targetChangesDay / (24 * time.Hour).Seconds()
	idle := r.figure("platform reads without changes, all routers", "1/s", s.Find("platform reads over routers").At(targetDomainRouters)*targetRouters, "line over routers at 22 x 400")
	change := r.figure("platform reads for changes, all routers", "1/s", s.Find("platform reads of one change").At(targetWorkers+targetCallers)*targetRouters*changes, "line over objects at 2,100 x 400 x 0.022")
	r.check("platform reads a second", "1/s", idle+max(0, change), limitReads, "idle + changes")
	r.check("platform writes a second, without once-requests", "1/s", max(0, s.Find("platform writes over routers").At(targetDomainRouters))*targetRouters+changes, limitWrites, "line over routers at 22 x 400 + changes")
}

// processor adds up the processor time of control work.
func (s *Slopes) processor(r *Report) {
	if !s.has("processor time without requests", "processor time, both sides: slot request and release", "follower: fetch, verify and decode one change") {
		return
	}
	idle := r.figure("periodic work", "us/s", s.Find("processor time without requests").At(targetDomainRouters), "line over routers of the process at 22")
	requests := targetRequests / targetRouters
	calls := r.figure("slot requests and releases, both sides", "us/s", requests*(s.Find("processor time, both sides: slot request and release").Slope), "2.375 x slope")
	members := r.figure("member lists of 400 routers", "us/s", memberLists*s.Find("list the members of a view").At(targetRouters), "20 lists a second x line at 400")
	changes := r.figure("configuration changes", "us/s", targetChangesDay/86400*s.Find("follower: fetch, verify and decode one change").At(targetCallers), "0.022 x line at 1,000 callers")
	r.check("processor time of control work", "core", (idle+calls+members+changes)/1e6, limitCore, "sum of the four rows")
	if f := s.Find("processor time of a request"); len(f.Points) > 0 {
		r.figure("data path: forwarded tokens", "us/s", targetTokens/targetRouters*f.Slope, "1,050 tokens/s x slope over chunks")
		r.figure("data path: requests", "us/s", requests*f.Base, "2.375 x base")
	}
}

// memberLists is how often a second a router lists its members: three times in
// each turn of the holder loop, every 200 ms, and in other work.
const memberLists = 20

// memory adds up what a router holds.
func (s *Slopes) memory(r *Report) {
	if !s.has("memory of the process", "memory of the configuration held", "memory of a view") {
		return
	}
	process := s.Find("memory of the process")
	base := r.figure("process without streams", "B", process.Base, "base over open streams")
	set := r.figure("configuration held", "B", 2*s.Find("memory of the configuration held").At(targetCallers), "2 x line at 1,000 callers, while a change is applied")
	view := r.figure("view of 400 routers", "B", s.Find("memory of a view").At(targetRouters), "line at 400")
	queue := r.figure("200 waiting requests, a workspace each", "B", 200*s.Find("memory of the queue, workspace each").Slope, "200 x slope")
	r.figure("data path: open streams", "B", process.Slope*targetInFlight/targetRouters, "slope x 28.5")
	r.check("memory of control work", "B", base+set+view+queue, limitMemory, "sum of the four rows")
}
