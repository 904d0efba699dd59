//go:build !race

package config

// fleetScale divides the size of the simulated fleet; see race_on_test.go.
const fleetScale = 1
