package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Row is one measured figure. Rows without a target are shown for comparison.
type Row struct {
	Size     string  `json:"size"`
	Measure  string  `json:"measure"`
	Strategy string  `json:"way"` // auburnlead or the name of a baseline
	Value    float64 `json:"value"`
	Target   string  `json:"target,omitempty"`
	Passed   bool    `json:"passed,omitempty"`
}

// Key identifies a row with a target in KNOWN-RED.txt.
func (r Row) Key() string { return r.Size + "/" + r.Measure }

// Report is the result of a run.
type Report struct {
	Seed   uint64 `json:"seed"`
	Rows   []Row  `json:"rows"`
	Passed int    `json:"passed"`
	Failed int    `json:"failed"`
}

// atLeast adds a row whose value must be at least the limit.
func (r *Report) atLeast(size, measure string, value, limit float64) {
	r.addRow(Row{Size: size, Measure: measure, Value: value, Target: fmt.Sprintf(">= %g", limit)}, value >= limit)
}

// atMost adds a row whose value must not exceed the limit.
func (r *Report) atMost(size, measure string, value, limit float64) {
	r.addRow(Row{Size: size, Measure: measure, Value: value, Target: fmt.Sprintf("<= %g", limit)}, value <= limit)
}

func (r *Report) addRow(row Row, passed bool) {
	row.Strategy = "auburnlead"
	row.Passed = passed
	if passed {
		r.Passed++
	} else {
		r.Failed++
	}
	r.Rows = append(r.Rows, row)
}

// info adds a row for comparison.
func (r *Report) info(size, measure, strategy string, value float64) {
	r.Rows = append(r.Rows, Row{Size: size, Measure: measure, Strategy: strategy, Value: value})
}

// Failures returns the rows that miss their target.
func (r *Report) Failures() []Row {
	var rows []Row
	for _, row := range r.Rows {
		if row.Target != "" && !row.Passed {
			rows = append(rows, row)
		}
	}
	return rows
}

// WriteText prints the table and a summary line.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "size\tmeasure\tway\tvalue\ttarget\tresult")
	for _, row := range r.Rows {
		outcome := "-"
		if row.Target != "" {
			outcome = "FAIL"
			if row.Passed {
				outcome = "ok"
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%s\t%s\n", row.Size, row.Measure, row.Strategy, row.Value, row.Target, outcome)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("bench: write the table: %w", err)
	}
	_, err := fmt.Fprintf(w, "seed %d\nbench: %d passed, %d failed\n", r.Seed, r.Passed, r.Failed)
	return err
}

// WriteJSON prints the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
