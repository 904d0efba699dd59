package capacity

import (
	"encoding/json"
	"fmt"
	"io"
)

// Check compares an extrapolated figure with a limit.
type Check struct {
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Limit   float64 `json:"limit"`
	Unit    string  `json:"unit"`
	Formula string  `json:"formula"`
	Passed  bool    `json:"passed"`
}

// Figure is an extrapolated value that is reported without a limit.
type Figure struct {
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Formula string  `json:"formula"`
}

// Report has the measurements, figures and checks of a run.
type Report struct {
	Lines   []Line   `json:"lines"`
	Figures []Figure `json:"figures"`
	Checks  []Check  `json:"checks"`
	Passed  int      `json:"passed"`
	Failed  int      `json:"failed"`
}

func (r *Report) addFigure(name, unit string, value float64, formula string) float64 {
	r.Figures = append(r.Figures, Figure{name, value, unit, formula})
	return value
}

func (r *Report) addCheck(name, unit string, value, limit float64, formula string) {
	c := Check{name, value, limit, unit, formula, value <= limit}
	r.Checks = append(r.Checks, c)
	if c.Passed {
		r.Passed++
	} else {
		r.Failed++
	}
}

// Write writes the report as JSON if output is json, otherwise as text.
func (r *Report) Write(w io.Writer, output string) error {
	if output == "json" {
		return json.NewEncoder(w).Encode(r)
	}
	for _, l := range r.Lines {
		fmt.Fprintf(w, "%-46s %10.4g + %9.4g %s a %s, residual %.3g\n", l.Name, l.Fit.Intercept, l.Fit.Slope, l.Unit, l.Per, l.Fit.Residual)
		for _, p := range l.Fit.Points {
			fmt.Fprintf(w, "    %10.5g %12.5g\n", p.X, p.Y)
		}
	}
	fmt.Fprintln(w, "at the target size, for one router unless stated:")
	for _, f := range r.Figures {
		fmt.Fprintf(w, "     %-44s %10.4g %-5s = %s\n", f.Name, f.Value, f.Unit, f.Formula)
	}
	for _, c := range r.Checks {
		verdict := "ok  "
		if !c.Passed {
			verdict = "FAIL"
		}
		fmt.Fprintf(w, "%s %-44s %10.4g of %7.5g %-4s = %s\n", verdict, c.Name, c.Value, c.Limit, c.Unit, c.Formula)
	}
	_, err := fmt.Fprintf(w, "capacity: %d passed, %d failed\n", r.Passed, r.Failed)
	return err
}
