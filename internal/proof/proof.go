// Package proof is for tests only: it sets the number and the choice of seeds
// in one way, makes rapid deterministic and lets tests report what they proved.
//
//   - AUBURNLEAD_SEEDS is the number of seeds of each test; without it, each
//     test's own default.
//   - AUBURNLEAD_SEED runs the one case with that seed.
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

// rapidSeed makes every run of rapid's tests give the same verdict.
const rapidSeed = "20260504"

func init() {
	set("rapid.seed", rapidSeed)
	if n := os.Getenv("AUBURNLEAD_SEEDS"); n != "" {
		set("rapid.checks", n)
	}
	if seed := os.Getenv("AUBURNLEAD_SEED"); seed != "" {
		set("rapid.seed", seed)
		set("rapid.checks", "1")
	}
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("proof: set -%s=%s: %v; correct AUBURNLEAD_SEED or AUBURNLEAD_SEEDS", name, value, err))
	}
}

// Seeds returns the seeds of a test that runs n of them by default.
func Seeds(n uint64) []uint64 {
	if text := os.Getenv("AUBURNLEAD_SEED"); text != "" {
		return []uint64{number(text)}
	}
	if text := os.Getenv("AUBURNLEAD_SEEDS"); text != "" {
		n = number(text)
	}
	seeds := make([]uint64, n)
	for i := range seeds {
		seeds[i] = uint64(i)
	}
	return seeds
}

func number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		panic(fmt.Sprintf("proof: %v; AUBURNLEAD_SEED and AUBURNLEAD_SEEDS are numbers", err))
	}
	return n
}

// Claim says what a test proves.
type Claim struct {
	Guarantee string // R1 to R7
	Kind      string // of proof
	Faults    string // under which the promise is tried
}

// Report counts what a test has tried. It is not for concurrent use.
type Report struct {
	Histories  int
	Operations int
}

// Begin returns the report of a test. At the test's end it is appended to
// AUBURNLEAD_PROOFS as one line of fields with tabs between them: promise,
// kind, test, faults, histories, operations, violations.
func Begin(t testing.TB, c Claim) *Report {
	r := &Report{}
	t.Cleanup(func() {
		if name := os.Getenv("AUBURNLEAD_PROOFS"); name != "" {
			if err := r.append(name, t, c); err != nil {
				t.Errorf("proof: report: %v", err)
			}
		}
	})
	return r
}

// History counts one history with its operations.
func (r *Report) History(operations int) {
	r.Histories++
	r.Operations += operations
}

// append writes the line with one write, since packages are tested at once. A
// failed test counts as one violation; its output names the seed.
func (r *Report) append(name string, t testing.TB, c Claim) error {
	violations := 0
	if t.Failed() {
		violations = 1
	}
	f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", c.Guarantee, c.Kind, t.Name(), c.Faults, r.Histories, r.Operations, violations)
	if closed := f.Close(); err == nil {
		err = closed
	}
	return err
}
