package routing

import "time"

// Load pattern: workers that take a request and never answer, beside floods in
// which all workers are slow. What counts as a stall follows the times that the
// upstream takes.

// delay is the time that an upstream takes to its first byte: an average and
// the average deviation from it, as for the retransmission of packets
// (RFC 6298). It is guarded by Fleet.mu.
type delay struct {
	known           bool
	mean, deviation time.Duration
}

// Weights of a new time in the averages, and bounds of the patience.
const (
	meanShare      = 8 // one of so many
	deviationShare = 4
	// deviations above the mean are waited for: prompts differ in length by
	// more than packets do in their way.
	deviations = 8
	// patienceLeast keeps single slow answers from being given up.
	patienceLeast = 500 * time.Millisecond
	// patienceFirst applies until a time is known.
	patienceFirst = 2 * time.Second
)

func (d *delay) took(t time.Duration) {
	if !d.known {
		d.known, d.mean, d.deviation = true, t, t/2
		return
	}
	off := t - d.mean
	d.mean += off / meanShare
	d.deviation += (off.Abs() - d.deviation) / deviationShare
}

func (d *delay) patience() time.Duration {
	if !d.known {
		return patienceFirst
	}
	return max(d.mean+deviations*d.deviation, patienceLeast)
}
