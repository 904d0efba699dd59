package capacity

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ReadProcesses fits the measurements that scripts/capacity takes of separate
// processes. Each line of the file has five fields separated by tabs: name of the
// fit, unit of Y, unit of X, X and Y. Errors: the file cannot be read or is
// malformed.
func (m *Measurements) ReadProcesses(file string) error {
	if file == "" {
		return nil
	}
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	lines := map[string]*Line{}
	var order []*Line
	for scan := bufio.NewScanner(f); scan.Scan(); {
		field := strings.Split(scan.Text(), "\t")
		if len(field) != 5 {
			return fmt.Errorf("line %q has %d fields instead of 5", scan.Text(), len(field))
		}
		x, errX := strconv.ParseFloat(field[3], 64)
		y, errY := strconv.ParseFloat(field[4], 64)
		if errX != nil || errY != nil {
			return fmt.Errorf("the last two fields of line %q are not numbers", scan.Text())
		}
		l := lines[field[0]]
		if l == nil {
			l = &Line{Name: field[0], Unit: field[1], Per: field[2]}
			lines[l.Name], order = l, append(order, l)
		}
		l.Fit.Points = append(l.Fit.Points, Point{x, y})
	}
	for _, l := range order {
		m.addFit(l.Name, l.Unit, l.Per, l.Fit.Points)
	}
	return nil
}
