package slopes

import (
	"cmp"
	"slices"
)

// Point is the median of the values measured at one size, over Rounds rounds.
type Point struct {
	Size   float64 `json:"size"`
	Value  float64 `json:"value"`
	Rounds int     `json:"rounds"`
}

// Series is one cost measured at several sizes, with the least-squares line
// Value = Base + Slope*Size through the points.
type Series struct {
	Name string `json:"name"`
	// Unit is the unit of the values and Per that of the sizes.
	Unit   string  `json:"unit"`
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	Slope  float64 `json:"slope"`
	Base   float64 `json:"base"`
}

// At returns the line's value at a size.
func (s *Series) At(size float64) float64 { return s.Base + s.Slope*size }

// fit computes Slope and Base. With a single size the slope is zero.
func (s *Series) fit() {
	var n, meanSize, meanValue, product, square float64
	for _, p := range s.Points {
		n++
		meanSize += p.Size
		meanValue += p.Value
	}
	meanSize /= n
	meanValue /= n
	for _, p := range s.Points {
		product += (p.Size - meanSize) * (p.Value - meanValue)
		square += (p.Size - meanSize) * (p.Size - meanSize)
	}
	if s.Slope = 0; square > 0 {
		s.Slope = product / square
	}
	s.Base = meanValue - s.Slope*meanSize
}

// sample is one measured value.
type sample struct {
	name, unit, per string
	size, value     float64
}

// Samples collects measured values.
type Samples []sample

func (s *Samples) add(name, unit, per string, size, value float64) {
	*s = append(*s, sample{name: name, unit: unit, per: per, size: size, value: value})
}

// Series groups the samples by name, takes the median at each size and fits the
// line of each series.
func (s Samples) Series() []Series {
	values := make(map[string]map[float64][]float64)
	var list []Series
	for _, one := range s {
		if values[one.name] == nil {
			values[one.name] = make(map[float64][]float64)
			list = append(list, Series{Name: one.name, Unit: one.unit, Per: one.per})
		}
		values[one.name][one.size] = append(values[one.name][one.size], one.value)
	}
	for i := range list {
		line := &list[i]
		for size, round := range values[line.Name] {
			line.Points = append(line.Points, Point{Size: size, Value: median(round), Rounds: len(round)})
		}
		slices.SortFunc(line.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
		line.fit()
	}
	return list
}

func median(values []float64) float64 {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
