package capacity

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Windows are the times of a run.
type Windows struct {
	Settle  time.Duration // from the start to the first count
	Measure time.Duration // each count
}

// Slopes are the fitted lines of control traffic, in bytes a second of one
// router, and of platform requests.
type Slopes struct {
	Lines []Line
}

// Line is a named fit.
type Line struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	Per  string `json:"per"` // what X counts
	Fit  Fit    `json:"fit"`
}

// Find returns a line by name.
func (s *Slopes) Find(name string) Fit {
	for _, l := range s.Lines {
		if l.Name == name {
			return l.Fit
		}
	}
	return Fit{}
}

func (s *Slopes) add(name, unit, per string, points []Point) {
	s.Lines = append(s.Lines, Line{name, unit, per, LeastSquares(points)})
}

// addRates adds the lines of idle rates over a size.
func (s *Slopes) addRates(over, per string, sizes []float64, rates []Rates) {
	kinds := []struct {
		name string
		unit string
		of   func(Rates) float64
	}{
		{"peer", "B/s", func(r Rates) float64 { return r.PeerSent }},
		{"platform sent", "B/s", func(r Rates) float64 { return r.TableSent }},
		{"platform received", "B/s", func(r Rates) float64 { return r.TableReceived }},
		{"load reports sent", "B/s", func(r Rates) float64 { return r.ReportSent }},
		{"load reports received", "B/s", func(r Rates) float64 { return r.ReportReceived }},
		{"platform reads", "1/s", func(r Rates) float64 { return r.Reads }},
		{"platform writes", "1/s", func(r Rates) float64 { return r.Writes }},
		{"peer connections opened", "1/s", func(r Rates) float64 { return r.PeerConns }},
		{"packets", "1/s", func(r Rates) float64 { return r.Packets }},
	}
	for _, k := range kinds {
		points := make([]Point, len(sizes))
		for i, x := range sizes {
			points[i] = Point{x, k.of(rates[i])}
		}
		s.add(k.name+" over "+over, k.unit, per, points)
	}
}

// idle starts a fleet, lets it settle and returns its idle rates.
func idle(ctx context.Context, size FleetSize, w Windows, then func(*Fleet) error) (Rates, error) {
	f, err := StartFleet(ctx, size)
	if err != nil {
		f.Close() // what had started
		return Rates{}, fmt.Errorf("fleet %+v: %w", size, err)
	}
	defer f.Close()
	if err := f.Settle(ctx, w.Settle); err != nil {
		return Rates{}, err
	}
	rates := f.Measure(ctx, w.Measure)
	if then != nil {
		err = then(f)
	}
	return rates, err
}

// small is a set with the fleet's workers and few callers.
var small = SetSize{Callers: 100}

// overSizes measures idle fleets of several sizes at the same time: only bytes
// are counted, which do not depend on the load of the machine.
func (s *Slopes) overSizes(ctx context.Context, over, per string, sizes []float64, w Windows, at func(x int) FleetSize) error {
	rates := make([]Rates, len(sizes))
	failures := make([]error, len(sizes))
	var wg sync.WaitGroup
	for i, x := range sizes {
		wg.Go(func() { rates[i], failures[i] = idle(ctx, at(int(x)), w, nil) })
	}
	wg.Wait()
	s.addRates(over, per, sizes, rates)
	return errors.Join(failures...)
}

// Idle fits the idle rates over routers, domains and workers.
func (s *Slopes) Idle(ctx context.Context, w Windows) error {
	err := s.overSizes(ctx, "routers", "router in the domain", []float64{2, 8, 16, 22, 32}, w, func(x int) FleetSize {
		return FleetSize{Domains: 1, Routers: x, Workers: targetDomainWorkers, Set: small}
	})
	if err != nil {
		return err
	}
	err = s.overSizes(ctx, "domains", "domain", []float64{2, 6, 12, 18}, w, func(x int) FleetSize {
		return FleetSize{Domains: x, Routers: 3, Workers: 6, Set: small}
	})
	if err != nil {
		return err
	}
	return s.overSizes(ctx, "workers", "worker held by the router", []float64{1, 3, 6, 12}, w, func(x int) FleetSize {
		return FleetSize{Domains: 1, Routers: 6, Workers: 6 * x, Set: small}
	})
}

// Requests fits the traffic over slot requests a second, in a domain of the
// target size.
func (s *Slopes) Requests(ctx context.Context, w Windows) error {
	size := FleetSize{Domains: 1, Routers: targetDomainRouters, Workers: targetDomainWorkers, Set: small}
	var points, packets []Point
	_, err := idle(ctx, size, w, func(f *Fleet) error {
		for _, rate := range []float64{1, 2.5, 5, 10} {
			drive, stop := context.WithTimeout(ctx, w.Measure+holdTime)
			done := make(chan [2]int)
			go func() {
				granted, refused := f.Drive(drive, rate)
				done <- [2]int{granted, refused}
			}()
			wait(ctx, holdTime)
			r := f.Measure(ctx, w.Measure)
			stop()
			n := <-done
			if n[0] == 0 {
				return fmt.Errorf("no slot request was granted at %v requests/s", rate)
			}
			made := float64(n[0]+n[1]) / float64(len(f.Routers)) / (w.Measure + holdTime).Seconds()
			points = append(points, Point{made, r.PeerSent})
			packets = append(packets, Point{made, r.Packets})
		}
		return nil
	})
	s.add("peer over requests", "B/s", "request/s", points)
	s.add("packets over requests", "1/s", "request/s", packets)
	return err
}

// Changes fits the bytes and platform reads that one configuration change
// costs one router over the size of the set.
func (s *Slopes) Changes(ctx context.Context, w Windows) error {
	callers := []int{100, 1000, 4000}
	bytes, reads := make([]Point, len(callers)), make([]Point, len(callers))
	failures := make([]error, len(callers))
	var wg sync.WaitGroup
	for i, n := range callers {
		wg.Go(func() {
			size := FleetSize{Domains: 2, Routers: 4, Workers: 6, Set: SetSize{Workers: targetWorkers, Callers: n}}
			_, failures[i] = idle(ctx, size, w, func(f *Fleet) error {
				b, r, err := f.changeCost(ctx, w.Measure)
				x := float64(targetWorkers + n)
				bytes[i], reads[i] = Point{x, b}, Point{x, r}
				return err
			})
		})
	}
	wg.Wait()
	s.add("bytes received for one change", "B", "object in the set", bytes)
	s.add("platform reads of one change", "reads", "object in the set", reads)
	return errors.Join(failures...)
}

// changeCost is what one change costs one router beyond an idle window.
func (f *Fleet) changeCost(ctx context.Context, window time.Duration) (bytes, reads float64, err error) {
	const changes = 5
	before := f.Measure(ctx, window)
	change := make(chan error, 1)
	go func() { change <- f.changeEach(ctx, changes, window/(changes+1)) }()
	after := f.Measure(ctx, window)
	each := window.Seconds() / changes
	total := func(r Rates) float64 { return r.PeerReceived + r.TableReceived }
	return (total(after) - total(before)) * each, (after.Reads - before.Reads) * each, <-change
}

func (f *Fleet) changeEach(ctx context.Context, n int, every time.Duration) error {
	for range n {
		if err := f.ChangeOneCaller(ctx); err != nil {
			return err
		}
		wait(ctx, every)
	}
	return nil
}
