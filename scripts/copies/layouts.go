package main

import (
	"time"
)

// layout is one arrangement of workers, entries and requesters.
type layout struct {
	name    string
	workers int
	both    bool // each worker has a second entry, under which it serves too
	gone    bool // an entry of an instance that is gone stands at each worker's address
	refusal refusal
	reuse   string // how requesters use an ID again, if they do
	stream  bool
	resume  bool   // the streams may be resumed, and some break off
	restart string // what restarts or leaves the list under load, if anything
}

const (
	afterRefusal = "after a refusal"
	inTheEnd     = "after a refusal, when all requests have been sent"
	atOnce       = "at once"
	secondRouter = "at once on a second router"
	afterAnswer  = "after an answer"
	workerNew    = "worker, under a new ID"
	workerSame   = "worker, under its ID"
	relist       = "worker's entry, removed and written again"
	routerTerm   = "router, SIGTERM"
	routerKill   = "router, SIGKILL"
)

var (
	busy    = refusal{Status: 503}
	limited = refusal{Status: 429}
)

var layouts = []layout{
	{name: "both1", workers: 1, both: true, refusal: busy},
	{name: "both2", workers: 2, both: true, refusal: busy},
	{name: "gone2", workers: 2, gone: true, refusal: busy},
	{name: "gone6", workers: 6, gone: true, refusal: busy},
	{name: "single1", workers: 1, refusal: busy},
	{name: "single2", workers: 2, refusal: busy},
	{name: "single6", workers: 6, refusal: busy},
	{name: "single2-429", workers: 2, refusal: limited},
	{name: "single2-pause", workers: 2, refusal: refusal{Status: 503, RetryAfter: "0.4"}},
	{name: "single2-body", workers: 2, refusal: refusal{Status: 503, BodyBytes: 300}},
	{name: "single2-late", workers: 2, refusal: refusal{Status: 503, Delay: 40 * time.Millisecond}},
	{name: "both2-body", workers: 2, both: true, refusal: refusal{Status: 503, BodyBytes: 300}},
	{name: "both2-429", workers: 2, both: true, refusal: limited},
	{name: "reuse-after", workers: 2, refusal: busy, reuse: afterRefusal},
	{name: "reuse-in-the-end", workers: 1, refusal: busy, reuse: inTheEnd},
	{name: "reuse-at-once", workers: 2, refusal: busy, reuse: atOnce},
	{name: "reuse-second", workers: 2, refusal: busy, reuse: secondRouter},
	{name: "reuse-answer", workers: 2, refusal: busy, reuse: afterAnswer},
	{name: "restart-worker-new", workers: 3, refusal: busy, restart: workerNew},
	{name: "restart-worker-same", workers: 3, refusal: busy, restart: workerSame},
	{name: "relist", workers: 2, refusal: refusal{Status: 503, Delay: 1400 * time.Millisecond}, restart: relist},
	{name: "restart-router-term", workers: 2, refusal: busy, restart: routerTerm},
	{name: "restart-router-kill", workers: 2, refusal: busy, restart: routerKill},
	{name: "stream", workers: 2, refusal: busy, stream: true},
	{name: "stream-gone", workers: 2, gone: true, refusal: busy, stream: true},
	{name: "resume", workers: 3, refusal: busy, stream: true, resume: true},
	{name: "resume-gone", workers: 3, gone: true, refusal: busy, stream: true, resume: true},
}
