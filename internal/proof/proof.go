// Package proof is for tests only. It selects the seeds of all tests in the same
// way, makes the property tests of package rapid deterministic, and writes a
// report on which guarantees were checked.
//
//   - AUBURNLEAD_SEEDS is the number of seeds of each test; each test has its own
//     default.
//   - AUBURNLEAD_SEED runs each test with this seed only.
//   - AUBURNLEAD_PROOFS is a file to which each test appends one line.
//
// Importing the package sets rapid's seed. The flags -rapid.seed and
// -rapid.checks on the command line take precedence.
package proof

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that init sets
)

// rapidSeed is fixed, so that every run of rapid's tests has the same result.
const rapidSeed = "20260504"

func init() {
	setFlag("rapid.seed", rapidSeed)
	if n := os.Getenv("AUBURNLEAD_SEEDS"); n != "" {
		setFlag("rapid.checks", n)
	}
	if seed := os.Getenv("AUBURNLEAD_SEED"); seed != "" {
		setFlag("rapid.seed", seed)
		setFlag("rapid.checks", "1")
	}
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("proof: set -%s=%s: %v; correct AUBURNLEAD_SEED or AUBURNLEAD_SEEDS", name, value, err))
	}
}

// Seeds returns the seeds of a test that runs n of them by default.
func Seeds(n uint64) []uint64 {
	if text := os.Getenv("AUBURNLEAD_SEED"); text != "" {
		return []uint64{parseNumber(text)}
	}
	if text := os.Getenv("AUBURNLEAD_SEEDS"); text != "" {
		n = parseNumber(text)
	}
	seeds := make([]uint64, n)
	for i := range seeds {
		seeds[i] = uint64(i)
	}
	return seeds
}

func parseNumber(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		panic(fmt.Sprintf("proof: %v; set AUBURNLEAD_SEED and AUBURNLEAD_SEEDS to numbers", err))
	}
	return n
}

// Claim describes a test in the report.
type Claim struct {
	Guarantee string // guarantee that the test checks, R1 to R7 of docs/guarantees.md
	Kind      string // kind of test
	Faults    string // faults that the test injects
}

// Report counts what a test has run. It is not safe for concurrent use.
type Report struct {
	Histories  int // runs or recorded histories that were checked
	Operations int // operations in all of them
}

// Begin returns the report of a test. At the end of the test it is appended to
// AUBURNLEAD_PROOFS as one line of tab-separated fields: guarantee, kind, test,
// faults, histories, operations, violations.
func Begin(t testing.TB, c Claim) *Report {
	r := &Report{}
	t.Cleanup(func() {
		if path := os.Getenv("AUBURNLEAD_PROOFS"); path != "" {
			if err := r.appendTo(path, t, c); err != nil {
				t.Errorf("proof: write the report: %v", err)
			}
		}
	})
	return r
}

// History counts one checked history and its number of operations.
func (r *Report) History(operations int) {
	r.Histories++
	r.Operations += operations
}

// appendTo appends the line to the file with a single write, because the tests of
// several packages run concurrently. A failed test counts as one violation; its output
// names the seed.
func (r *Report) appendTo(path string, t testing.TB, c Claim) error {
	violations := 0
	if t.Failed() {
		violations = 1
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", c.Guarantee, c.Kind, t.Name(), c.Faults, r.Histories, r.Operations, violations)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
