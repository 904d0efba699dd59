// Package unreadable counts and logs input from outside the process that could
// not be read, in whole or in part.
package unreadable

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/internal/boundedlog"
	"github.com/auburnlead/auburnlead/internal/metrics"
)

// Kind says what could not be read. It is a metric tag, so kinds form a fixed
// set.
type Kind string

// Kinds of input.
const (
	LoadReport    Kind = "load report"    // header of a worker's response
	RateLimit     Kind = "rate limit"     // header of a worker's response
	Leaving       Kind = "leaving"        // header of a worker's response
	Pause         Kind = "pause"          // header of a worker's response
	ColdTime      Kind = "cold time"      // header of a worker's response, field of a row that it writes
	PromptParts   Kind = "prompt parts"   // header of a caller's request
	TokenCounts   Kind = "token counts"   // header of a caller's request
	LengthHint    Kind = "length hint"    // header of a caller's request
	Registration  Kind = "registration"   // row that a worker writes
	DesiredState  Kind = "desired state"  // row that the operator writes
	Evacuation    Kind = "evacuation"     // row that the operator writes
	StoreRow      Kind = "store row"      // row in a reply of the store
	StoreEra      Kind = "store era"      // header of a reply of the store
	RouterMessage Kind = "router message" // datagram of another router
)

// linesPerSecond limits the log lines of one kind.
const linesPerSecond = 2

// Reporter counts input that could not be read, by kind, and logs it with its
// sender. It is safe for concurrent use and does not block.
type Reporter struct {
	lines    *boundedlog.Logger
	counters *metrics.TaggedCounters
}

// New returns a reporter that counts in the scope's counter unreadable.
func New(l *log.Logger, scope tally.Scope) *Reporter {
	return &Reporter{lines: boundedlog.New(l, linesPerSecond), counters: metrics.NewTaggedCounters(scope)}
}

// Input is input that could not be read, in whole or in part.
type Input struct {
	Kind   Kind
	Text   string
	Reason error
}

// Isolate calls a function that reads an input and reports a panic of it like an
// input that could not be read, so that one message cannot end the process. The
// function must release its locks by defer.
func (r *Reporter) Isolate(sender string, kind Kind, input []byte, read func()) {
	defer func() {
		if v := recover(); v != nil {
			r.Report(sender, Input{Kind: kind, Text: string(input), Reason: fmt.Errorf("panic: %v; report it with this input", v)})
		}
	}()
	read()
}

// Report counts and logs one input. The sender is the ID of a worker or request,
// the address of a router or the key of a row. The input is identified by its
// length and digest, since it may be long or secret.
func (r *Reporter) Report(sender string, in Input) {
	r.counters.Inc("unreadable", "kind", string(in.Kind))
	r.lines.Log(log.WarnLevel, "input not read: "+string(in.Kind), "input not read", "kind", in.Kind, "sender", sender, "bytes", len(in.Text), "digest", strconv.FormatUint(xxhash.Sum64String(in.Text), 16), "reason", in.Reason)
}
