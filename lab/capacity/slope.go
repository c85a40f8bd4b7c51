// Package capacity measures what each part of the system costs as its sizes
// grow, and works out from the slopes what each role needs at a given size.
package capacity

import (
	"runtime"
	"slices"
	"time"
)

// repeats is how often each point is measured; the least is kept, since
// everything else that runs on the machine only adds.
const repeats = 3

// minRun is how long one timing goes on at the least.
const minRun = 20 * time.Millisecond

// Point is one measurement.
type Point struct {
	Size   float64 `json:"size"`
	Value  float64 `json:"value"`
	Spread float64 `json:"spread"` // greatest over least of the repeats, less 1
}

// Slope is how a cost grows with a size: value = Base + Each × size.
type Slope struct {
	Name     string  `json:"name"`
	SizeName string  `json:"size"`   // what the size counts
	Unit     string  `json:"unit"`   // of the value
	PerUnit  float64 `json:"each"`   // added by one more
	Base     float64 `json:"base"`   // at size 0
	Spread   float64 `json:"spread"` // the greatest of the points
	Points   []Point `json:"points"`
}

// At is the value at the given size: between two points, on the line that joins
// them, and outside on the fitted one. A line fitted through noise can cross
// zero; a cost cannot.
func (s *Slope) At(size float64) float64 {
	for i := 1; i < len(s.Points); i++ {
		a, b := s.Points[i-1], s.Points[i]
		if size >= a.Size && size <= b.Size {
			return a.Value + (b.Value-a.Value)*(size-a.Size)/(b.Size-a.Size)
		}
	}
	return max(s.Base+s.PerUnit*size, 0)
}

// measure takes a point at each size and fits a line through them. The
// function returns the value of one repeat.
func measure(name, size, unit string, sizes []int, one func(size int) float64) Slope {
	return measureTimes(repeats, name, size, unit, sizes, one)
}

// measureOnce is measure without repeats, for what takes seconds.
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

// fit is the least-squares line, weighted by 1/size² so that the small sizes
// of today count as much as the large ones.
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

// nanoseconds times f, which does its work n times.
func nanoseconds(f func(n int)) float64 {
	for n := 1; ; n *= 2 {
		began := time.Now()
		f(n)
		took := time.Since(began)
		if took >= minRun {
			return float64(took.Nanoseconds()) / float64(n)
		}
	}
}

// heapBytes is what the value that make returns keeps on the heap.
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
