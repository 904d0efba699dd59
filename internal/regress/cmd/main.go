// Command regress plays the standard days of deployments with the users' bench and
// prints their worth beside the last committed scores. It exits with 1 if a rule was
// broken or a mean fell by more than the noise, with 2 on usage errors.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/auburnlead/auburnlead/internal/regress"
)

func main() {
	bench := flag.String("bench", "", "path of the users' bench; without it, the entries that are not committed are compared and nothing is played")
	why := flag.String("why", "", "what was changed and what is expected; goes into the journal")
	jobs := flag.Int("jobs", 3, "days played at a time")
	quick := flag.Bool("quick", false, "play a few of the standard days")
	flag.Parse()
	if (*bench == "") != (flag.NArg() == 0) || *bench != "" && *why == "" {
		fmt.Fprintln(os.Stderr, "regress: usage: regress -bench PATH -why TEXT SITE..., or regress without arguments")
		os.Exit(2)
	}
	passed, err := run(context.Background(), *bench, *why, *jobs, *quick, flag.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !passed {
		os.Exit(1)
	}
}

func run(ctx context.Context, bench, why string, jobs int, quick bool, sites []string) (passed bool, err error) {
	for _, site := range sites {
		args := []string{"score", site, "--jobs", fmt.Sprint(jobs), "--why", why}
		if quick {
			args = append(args, "--quick")
		}
		play := exec.CommandContext(ctx, bench, args...)
		play.Stdout, play.Stderr = os.Stderr, os.Stderr
		if err := play.Run(); err != nil {
			return false, fmt.Errorf("regress: score %s: %w; see the lines above", filepath.Base(site), err)
		}
	}
	committed, err := exec.CommandContext(ctx, "git", "ls-files", "journal").Output()
	if err != nil {
		return false, fmt.Errorf("regress: list the committed entries: %w; run it in the repository", err)
	}
	var names []string
	for name := range strings.FieldsSeq(string(committed)) {
		names = append(names, filepath.Base(name))
	}
	list, err := regress.Load("journal", names)
	if err != nil {
		return false, err
	}
	passed = true
	for _, c := range list {
		passed = passed && c.Passed()
	}
	return passed, regress.Write(os.Stdout, list)
}
