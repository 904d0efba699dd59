//go:build race

package config

// fleetScale divides the size of the simulated fleet and the rate limit that it
// has to respect. The race detector of Go 1.26 limits the number of goroutines
// and failed in 1 of 4 runs with those of 400 routers; make test runs the full
// size without it.
const fleetScale = 10
