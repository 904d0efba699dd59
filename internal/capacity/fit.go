// Package capacity measures the resources that one router needs and extrapolates
// them to the target size. It runs complete routers in this process, counts the
// bytes on their connections, and fits straight lines over at least three sizes.
package capacity

import "math"

// Point is one measurement: the value Y measured at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is the least-squares line through its points.
type Fit struct {
	Intercept float64 `json:"base"`  // value at size 0
	Slope     float64 `json:"slope"` // change for each unit of size
	// Residual is the root mean square distance of the points from the line, in
	// the unit of Y.
	Residual float64 `json:"residual"`
	Points   []Point `json:"points"`
}

// Predict returns the value of the line at size x.
func (f Fit) Predict(x float64) float64 { return f.Intercept + f.Slope*x }

// LeastSquares fits a line. If all points have the same size, the slope is 0.
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
	f.Intercept = meanY - f.Slope*meanX
	var sum float64
	for _, p := range points {
		d := p.Y - f.Predict(p.X)
		sum += d * d
	}
	f.Residual = math.Sqrt(sum / n)
	return f
}
