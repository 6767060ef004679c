package capacity

import "math"

// Point is one measurement: Y is the value measured at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a straight line fitted to points by least squares of the relative
// errors, so that small sizes weigh as much as large ones.
type Fit struct {
	// Name identifies the fit; tables refer to it.
	Name string `json:"name"`
	// Per is the unit of X and Unit that of Y.
	Per  string `json:"per"`
	Unit string `json:"unit"`
	// Command is the shell command that repeats the measurement.
	Command string `json:"command"`
	// Mechanism is the code that causes the cost.
	Mechanism string  `json:"mechanism"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Error is the largest distance of a point from the line, as a share of
	// the point's value.
	Error float64 `json:"error"`
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// fitLine returns f with Slope, Intercept and Error computed from its points.
// One point gives a line through the origin.
func (f Fit) fitLine() Fit {
	var w, wx, wy, wxx, wxy float64
	for _, p := range f.Points {
		weight := 1.0
		if p.Y != 0 {
			weight = 1 / (p.Y * p.Y)
		}
		w, wx, wy = w+weight, wx+weight*p.X, wy+weight*p.Y
		wxx, wxy = wxx+weight*p.X*p.X, wxy+weight*p.X*p.Y
	}
	f.Slope, f.Intercept = 0, 0
	if d := w*wxx - wx*wx; len(f.Points) > 1 && d > 1e-12*w*wxx {
		f.Slope = (w*wxy - wx*wy) / d
		f.Intercept = (wy - f.Slope*wx) / w
	} else if wxx > 0 {
		f.Slope = wxy / wxx
	}
	f.Error = f.largestError()
	return f
}

func (f Fit) largestError() float64 {
	var largest float64
	for _, p := range f.Points {
		if p.Y != 0 {
			largest = math.Max(largest, math.Abs(f.At(p.X)-p.Y)/math.Abs(p.Y))
		}
	}
	return largest
}
