package capacity

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// MeasureTimes are the durations of the measurements with a fleet.
type MeasureTimes struct {
	Settle time.Duration // from the start of the fleet to the first window
	Window time.Duration // length of each window
}

// Measurements collects the fitted lines of a run.
type Measurements struct {
	Lines []Line
}

// Line is a fit with its name and units.
type Line struct {
	Name string `json:"name"`
	Unit string `json:"unit"` // unit of Y
	Per  string `json:"per"`  // unit of X, such as a router or a request
	Fit  Fit    `json:"fit"`
}

// Find returns the fit of a line, or a Fit without points if it was not measured.
func (m *Measurements) Find(name string) Fit {
	for _, l := range m.Lines {
		if l.Name == name {
			return l.Fit
		}
	}
	return Fit{}
}

func (m *Measurements) addFit(name, unit, per string, points []Point) {
	m.Lines = append(m.Lines, Line{name, unit, per, LeastSquares(points)})
}

// addRateFits fits the rates of idle fleets over a size.
func (m *Measurements) addRateFits(over, per string, sizes []float64, rates []Rates) {
	kinds := []struct {
		name string
		unit string
		of   func(Rates) float64
	}{
		{"peer", "B/s", func(r Rates) float64 { return r.PeerSent }},
		{"platform sent", "B/s", func(r Rates) float64 { return r.PlatformSent }},
		{"platform received", "B/s", func(r Rates) float64 { return r.PlatformReceived }},
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
		m.addFit(k.name+" over "+over, k.unit, per, points)
	}
}

// measureIdle starts a fleet, waits until it has settled and returns its rates
// without requests. If then is not nil, it is called afterwards with the fleet.
func measureIdle(ctx context.Context, size FleetSize, times MeasureTimes, then func(*Fleet) error) (Rates, error) {
	f, err := StartFleet(ctx, size)
	if err != nil {
		f.Close() // close what was started
		return Rates{}, fmt.Errorf("fleet %+v: %w", size, err)
	}
	defer f.Close()
	if err := f.Settle(ctx, times.Settle); err != nil {
		return Rates{}, err
	}
	rates := f.Measure(ctx, times.Window)
	if then != nil {
		err = then(f)
	}
	return rates, err
}

// smallSet is the size of a set with only the fleet's workers and few callers.
var smallSet = SetSize{Callers: 100}

// measureSizes measures idle fleets of several sizes concurrently. They do not
// distort each other's results, because only bytes and requests are counted, which
// do not depend on the load of the machine.
func (m *Measurements) measureSizes(ctx context.Context, over, per string, sizes []float64, times MeasureTimes, sizeOf func(x int) FleetSize) error {
	rates := make([]Rates, len(sizes))
	failures := make([]error, len(sizes))
	var wg sync.WaitGroup
	for i, x := range sizes {
		wg.Go(func() { rates[i], failures[i] = measureIdle(ctx, sizeOf(int(x)), times, nil) })
	}
	wg.Wait()
	m.addRateFits(over, per, sizes, rates)
	return errors.Join(failures...)
}

// Idle fits the rates without requests over routers, failure domains and workers.
func (m *Measurements) Idle(ctx context.Context, times MeasureTimes) error {
	err := m.measureSizes(ctx, "routers", "router in the domain", []float64{2, 8, 16, 22, 32}, times, func(x int) FleetSize {
		return FleetSize{Domains: 1, Routers: x, Workers: targetDomainWorkers, Set: smallSet}
	})
	if err != nil {
		return err
	}
	err = m.measureSizes(ctx, "domains", "domain", []float64{2, 6, 12, 18}, times, func(x int) FleetSize {
		return FleetSize{Domains: x, Routers: 3, Workers: 6, Set: smallSet}
	})
	if err != nil {
		return err
	}
	return m.measureSizes(ctx, "workers", "worker held by the router", []float64{1, 3, 6, 12}, times, func(x int) FleetSize {
		return FleetSize{Domains: 1, Routers: 6, Workers: 6 * x, Set: smallSet}
	})
}

// Requests fits the traffic over slot requests a second, in one failure domain of
// the target size.
func (m *Measurements) Requests(ctx context.Context, times MeasureTimes) error {
	size := FleetSize{Domains: 1, Routers: targetDomainRouters, Workers: targetDomainWorkers, Set: smallSet}
	var points, packets []Point
	_, err := measureIdle(ctx, size, times, func(f *Fleet) error {
		for _, rate := range []float64{1, 2.5, 5, 10} {
			driveCtx, stop := context.WithTimeout(ctx, times.Window+holdTime)
			done := make(chan [2]int)
			go func() {
				granted, refused := f.Drive(driveCtx, rate)
				done <- [2]int{granted, refused}
			}()
			sleep(ctx, holdTime)
			r := f.Measure(ctx, times.Window)
			stop()
			counts := <-done
			if counts[0] == 0 {
				return fmt.Errorf("no slot request was granted at %v requests/s", rate)
			}
			actualRate := float64(counts[0]+counts[1]) / float64(len(f.Routers)) / (times.Window + holdTime).Seconds()
			points = append(points, Point{actualRate, r.PeerSent})
			packets = append(packets, Point{actualRate, r.Packets})
		}
		return nil
	})
	m.addFit("peer over requests", "B/s", "request/s", points)
	m.addFit("packets over requests", "1/s", "request/s", packets)
	return err
}

// Changes fits the bytes and platform reads of one router for one configuration
// change over the size of the set.
func (m *Measurements) Changes(ctx context.Context, times MeasureTimes) error {
	callers := []int{100, 1000, 4000}
	bytes, reads := make([]Point, len(callers)), make([]Point, len(callers))
	failures := make([]error, len(callers))
	var wg sync.WaitGroup
	for i, n := range callers {
		wg.Go(func() {
			size := FleetSize{Domains: 2, Routers: 4, Workers: 6, Set: SetSize{Workers: targetWorkers, Callers: n}}
			_, failures[i] = measureIdle(ctx, size, times, func(f *Fleet) error {
				b, r, err := f.changeCost(ctx, times.Window)
				x := float64(targetWorkers + n)
				bytes[i], reads[i] = Point{x, b}, Point{x, r}
				return err
			})
		})
	}
	wg.Wait()
	m.addFit("bytes received for one change", "B", "object in the set", bytes)
	m.addFit("platform reads of one change", "reads", "object in the set", reads)
	return errors.Join(failures...)
}

// changeCost measures how many bytes a router receives and how often it reads from
// the platform for one change. It subtracts what it measures without changes.
func (f *Fleet) changeCost(ctx context.Context, window time.Duration) (bytes, reads float64, err error) {
	const changes = 5
	before := f.Measure(ctx, window)
	change := make(chan error, 1)
	go func() { change <- f.publishChanges(ctx, changes, window/(changes+1)) }()
	after := f.Measure(ctx, window)
	perChange := window.Seconds() / changes
	total := func(r Rates) float64 { return r.PeerReceived + r.PlatformReceived }
	return (total(after) - total(before)) * perChange, (after.Reads - before.Reads) * perChange, <-change
}

// publishChanges publishes n changes and waits for the interval after each one.
func (f *Fleet) publishChanges(ctx context.Context, n int, interval time.Duration) error {
	for range n {
		if err := f.ChangeOneCaller(ctx); err != nil {
			return err
		}
		sleep(ctx, interval)
	}
	return nil
}
