// Package capacity measures how the cost of each component grows with the size
// of a deployment, and computes from these slopes the resources that each role
// needs at a given size.
package capacity

import (
	"runtime"
	"slices"
	"time"
)

// repeats is the number of measurements of each point. The least value is kept,
// since other load on the machine can only increase it.
const repeats = 3

// minTiming is the minimum duration of one timing.
const minTiming = 20 * time.Millisecond

// Point is the cost at one size.
type Point struct {
	Size   float64 `json:"size"`
	Value  float64 `json:"value"`
	Spread float64 `json:"spread"` // greatest / least value of the repeats, minus 1
}

// Slope describes how a cost grows with a size: value = Base + PerUnit × size.
type Slope struct {
	Name     string  `json:"name"`
	SizeName string  `json:"size"`   // what is counted by the size
	Unit     string  `json:"unit"`   // of the value
	PerUnit  float64 `json:"each"`   // cost of one more
	Base     float64 `json:"base"`   // cost at size 0
	Spread   float64 `json:"spread"` // greatest spread of the points
	Points   []Point `json:"points"`
}

// At returns the cost at a size. It is interpolated between two measured points
// and taken from the fitted line outside of them. The result is never negative,
// although a line fitted through noisy points can be.
func (s *Slope) At(size float64) float64 {
	for i := 1; i < len(s.Points); i++ {
		a, b := s.Points[i-1], s.Points[i]
		if size >= a.Size && size <= b.Size {
			return a.Value + (b.Value-a.Value)*(size-a.Size)/(b.Size-a.Size)
		}
	}
	return max(s.Base+s.PerUnit*size, 0)
}

// measure measures a point at each size with repeats, and fits a line through
// the points. The function one returns the value of one repeat.
func measure(name, size, unit string, sizes []int, one func(size int) float64) Slope {
	return measureTimes(repeats, name, size, unit, sizes, one)
}

// measureOnce is measure without repeats, for measurements that take seconds.
func measureOnce(name, size, unit string, sizes []int, one func(size int) float64) Slope {
	return measureTimes(1, name, size, unit, sizes, one)
}

func measureTimes(times int, name, size, unit string, sizes []int, one func(size int) float64) Slope {
	s := Slope{Name: name, SizeName: size, Unit: unit}
	for _, n := range sizes {
		var values []float64
		for range times {
			values = append(values, one(n))
		}
		least, most := slices.Min(values), slices.Max(values)
		p := Point{Size: float64(n), Value: least}
		if least > 0 {
			p.Spread = most/least - 1
		}
		s.Points = append(s.Points, p)
		s.Spread = max(s.Spread, p.Spread)
	}
	s.fit()
	return s
}

// fit sets Base and PerUnit to the least-squares line. Points are weighted by
// 1/size², so that the small sizes of current deployments count as much as the
// large ones.
func (s *Slope) fit() {
	var w, wx, wy, wxx, wxy float64
	for _, p := range s.Points {
		weight := 1 / (p.Size * p.Size)
		w += weight
		wx += weight * p.Size
		wy += weight * p.Value
		wxx += weight * p.Size * p.Size
		wxy += weight * p.Size * p.Value
	}
	det := w*wxx - wx*wx
	if det == 0 {
		s.Base = wy / w
		return
	}
	s.PerUnit = (w*wxy - wx*wy) / det
	s.Base = (wy - s.PerUnit*wx) / w
}

// nanoseconds returns the time of one iteration of f, which runs n iterations.
func nanoseconds(f func(n int)) float64 {
	for n := 1; ; n *= 2 {
		began := time.Now()
		f(n)
		took := time.Since(began)
		if took >= minTiming {
			return float64(took.Nanoseconds()) / float64(n)
		}
	}
}

// heapBytes returns the heap memory that is retained by the value that build
// returns.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 0)
}
