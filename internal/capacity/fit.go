// Package capacity measures what one router costs and extrapolates to the
// target size. It runs whole routers in this process, counts the bytes on
// their connections, and fits straight lines over at least three sizes.
package capacity

import "math"

// Point is one measurement: the size X and what was measured at it.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is the least-squares line through some points.
type Fit struct {
	Base  float64 `json:"base"`  // value at size 0
	Slope float64 `json:"slope"` // change for each unit of size
	// Residual is the root of the mean squared distance of the points from
	// the line, in the unit of Y.
	Residual float64 `json:"residual"`
	Points   []Point `json:"points"`
}

// At is the line's value at a size.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }

// LeastSquares fits a line. With points of a single size the line is level.
func LeastSquares(points []Point) Fit {
	f := Fit{Points: points}
	n := float64(len(points))
	if n == 0 {
		return f
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
	}
	if xx > 0 {
		f.Slope = xy / xx
	}
	f.Base = meanY - f.Slope*meanX
	var sum float64
	for _, p := range points {
		d := p.Y - f.At(p.X)
		sum += d * d
	}
	f.Residual = math.Sqrt(sum / n)
	return f
}
