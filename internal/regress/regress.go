// Package regress compares the newest scores of deployments with the last
// committed ones. Scores are read from the entries that the users' bench leaves in
// the journal folder.
package regress

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
)

// Noise is the difference of a site's mean worth below which two scores count as
// equal, since processor time is measured.
const Noise = 0.03

// entry is the part of a journal entry that is compared.
type entry struct {
	ID      string             `json:"id"`
	At      []string           `json:"at"` // start and end, RFC 3339
	Command string             `json:"cmd"`
	Site    string             `json:"site"`
	Head    string             `json:"head"` // commit that was measured
	Figures map[string]float64 `json:"figures"`
	Days    []day              `json:"days"`
}

type day struct {
	Name  string  `json:"name"`
	Slot  string  `json:"slot"`
	Worth float64 `json:"G"`
}

// drawnPrefix begins the names of days that are drawn for one score only.
const drawnPrefix = "fresh-"

// quietSlot is the slot of days without trouble.
const quietSlot = "quiet"

// passedGate reports whether no rule was broken on any day.
func (e *entry) passedGate() bool { return e.Figures["gate"] == 1 }

// troubleMean returns the mean worth of the standard days with trouble, and their
// number.
func (e *entry) troubleMean() (mean float64, n int) {
	for _, d := range e.Days {
		if d.Slot != quietSlot && !strings.HasPrefix(d.Name, drawnPrefix) {
			mean += d.Worth
			n++
		}
	}
	return mean / float64(max(n, 1)), n
}

func (e *entry) worth(name string) (float64, bool) {
	i := slices.IndexFunc(e.Days, func(d day) bool { return d.Name == name })
	if i < 0 {
		return 0, false
	}
	return e.Days[i].Worth, true
}

// Comparison is a site's newest score beside the last committed one.
type Comparison struct {
	Site string
	now  *entry
	last *entry // nil if none is committed
}

// Load reads the scores of a journal folder. committed are the file names of the
// entries that are committed. For each site it compares the newest entry that is not
// committed with the newest committed one that has as many days with trouble. Errors:
// the folder cannot be read, or an entry is not valid JSON.
func Load(folder string, committed []string) ([]Comparison, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("regress: %w; name the journal folder", err)
	}
	bySite := map[string]*Comparison{}
	var committedEntries []*entry
	slices.Sort(names) // names begin with the time
	for _, name := range names {
		e, err := read(name)
		if err != nil {
			return nil, err
		}
		switch {
		case e.Command != "score" || len(e.Days) == 0:
		case slices.Contains(committed, filepath.Base(name)):
			committedEntries = append(committedEntries, e)
		default:
			bySite[e.Site] = &Comparison{Site: e.Site, now: e}
		}
	}
	for _, e := range committedEntries {
		c := bySite[e.Site]
		if c == nil {
			continue
		}
		_, n := e.troubleMean()
		if _, want := c.now.troubleMean(); n == want {
			c.last = e
		}
	}
	var list []Comparison
	for _, c := range bySite {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b Comparison) int { return strings.Compare(a.Site, b.Site) })
	return list, nil
}

func read(name string) (*entry, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("regress: %w; commit or remove the entry", err)
	}
	var e entry
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, fmt.Errorf("regress: %s: %w; restore the entry as it was written", filepath.Base(name), err)
	}
	return &e, nil
}

// Passed reports whether no rule was broken and the mean worth of the days with
// trouble is not below the last committed one by more than Noise.
func (c Comparison) Passed() bool {
	if !c.now.passedGate() {
		return false
	}
	if c.last == nil {
		return true
	}
	now, _ := c.now.troubleMean()
	last, _ := c.last.troubleMean()
	return now >= last-Noise
}

// Write prints the comparisons as a table, one row a day. Errors: those of the
// writer.
func Write(w io.Writer, list []Comparison) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\tday\tworth\tlast\tdifference")
	for _, c := range list {
		for _, d := range c.now.Days {
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%s\n", c.Site, d.Name, d.Worth, c.difference(d.Worth, func(e *entry) (float64, bool) { return e.worth(d.Name) }))
		}
		mean, n := c.now.troubleMean()
		verdict := "passed"
		if !c.Passed() {
			verdict = "FAILED"
		}
		fmt.Fprintf(t, "%s\tmean of %d with trouble\t%.3f\t%s\t%s\n", c.Site, n, mean, c.difference(mean, func(e *entry) (float64, bool) { m, n := e.troubleMean(); return m, n > 0 }), verdict)
	}
	return t.Flush()
}

// difference formats the last value and the difference from it, "-" if there is
// none.
func (c Comparison) difference(now float64, value func(*entry) (float64, bool)) string {
	if c.last == nil {
		return "-\t-"
	}
	last, ok := value(c.last)
	if !ok {
		return "-\t-"
	}
	return fmt.Sprintf("%.3f\t%+.3f", last, now-last)
}
