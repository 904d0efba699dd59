// Command bench runs the benchmark of the routers' decisions, such as admission and
// routing (see package bench), and prints the results as a table or JSON. It exits
// with status 1 if a target is missed.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/auburnlead/auburnlead/internal/bench"
)

func main() {
	output := flag.String("output", "text", "text or json")
	short := flag.Bool("short", false, "use shorter floods, and skip the baselines and the two-year fleet size")
	seed := flag.Uint64("seed", 1, "seed of the traces")
	flag.Parse()
	report := bench.Run(bench.Options{Short: *short, Seed: *seed})
	var err error
	switch *output {
	case "text":
		err = report.WriteText(os.Stdout)
	case "json":
		err = report.WriteJSON(os.Stdout)
	default:
		fmt.Fprintf(os.Stderr, "bench: -output %q is not known; use text or json\n", *output)
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if report.Failed > 0 {
		os.Exit(1)
	}
}
