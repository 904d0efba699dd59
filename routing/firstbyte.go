package routing

import "time"

// Detects workers that accept a request and never respond, without giving up on
// all workers when overload slows every one of them: the time after which a
// worker counts as stalled follows the upstream's recent times to first byte.

// firstByteTimes tracks an upstream's time to first byte: its mean and its mean
// deviation, as for TCP retransmission timeouts (RFC 6298). It is guarded by
// Fleet.mu.
type firstByteTimes struct {
	known           bool
	mean, deviation time.Duration
}

// Weights of a new sample in the averages, and bounds of the timeout.
const (
	meanDivisor      = 8 // inverse weight of a sample
	deviationDivisor = 4
	// timeoutDeviations is the number of deviations added to the mean: more
	// than in RFC 6298, since prompt lengths vary more than the transit times
	// of packets.
	timeoutDeviations = 8
	// slowDeviations is the number of deviations above the mean from which a response
	// is slow, as in RFC 6298.
	slowDeviations = 4
	// minFirstByteTimeout keeps a worker from counting as stalled after a single
	// slow response.
	minFirstByteTimeout = 500 * time.Millisecond
	// initialFirstByteTimeout applies until the first sample.
	initialFirstByteTimeout = 2 * time.Second
)

func (f *firstByteTimes) record(t time.Duration) {
	if !f.known {
		f.known, f.mean, f.deviation = true, t, t/2
		return
	}
	difference := t - f.mean
	f.mean += difference / meanDivisor
	f.deviation += (difference.Abs() - f.deviation) / deviationDivisor
}

func (f *firstByteTimes) timeout() time.Duration {
	if !f.known {
		return initialFirstByteTimeout
	}
	return max(f.mean+timeoutDeviations*f.deviation, minFirstByteTimeout)
}

func (f *firstByteTimes) isSlow(t time.Duration) bool {
	return f.known && t > f.mean+slowDeviations*f.deviation
}
