package emulator

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"yokeroute/internal/pcg"
)

// event is something that happens at a time. Events of one instant happen in the order in which they were put down:
// never in that of a heap's chance, nor of a map.
type event struct {
	at  float64
	seq uint64
	do  func()
}

// agenda is a heap of events by time and order.
type agenda struct {
	heap []event
	seq  uint64
}

func (a *agenda) less(i, j int) bool {
	x, y := &a.heap[i], &a.heap[j]
	return x.at < y.at || x.at == y.at && x.seq < y.seq
}

func (a *agenda) put(at float64, do func()) {
	a.seq++
	a.heap = append(a.heap, event{at, a.seq, do})
	for i := len(a.heap) - 1; i > 0; {
		up := (i - 1) / 4
		if !a.less(i, up) {
			break
		}
		a.heap[i], a.heap[up] = a.heap[up], a.heap[i]
		i = up
	}
}

func (a *agenda) take() event {
	top := a.heap[0]
	last := len(a.heap) - 1
	a.heap[0] = a.heap[last]
	a.heap[last].do = nil
	a.heap = a.heap[:last]
	for i := 0; ; {
		least := i
		for down := 4*i + 1; down < min(4*i+5, last); down++ {
			if a.less(down, least) {
				least = down
			}
		}
		if least == i {
			return top
		}
		a.heap[i], a.heap[least] = a.heap[least], a.heap[i]
		i = least
	}
}

// at puts an event down; one for a time that has gone by happens next.
func (w *World) at(at float64, do func()) { w.agenda.put(max(at, w.now), do) }

func (w *World) in(after float64, do func()) { w.agenda.put(w.now+after, do) }

// stream is a source of chance of its own for a purpose, so that what is drawn for one thing does not hang on how
// often another was: variants of decisions then meet the same day.
func (w *World) stream(purpose string, number uint64) *pcg.Source {
	return pcg.New(xxhash.Sum64String(purpose+" "+strconv.FormatUint(number, 10)) ^ w.seed*0x9e3779b97f4a7c15)
}

// normal is a standard normal draw, by Box and Muller.
func normal(c *pcg.Source) float64 {
	return math.Sqrt(-2*math.Log(1-c.Float64())) * math.Cos(2*math.Pi*c.Float64())
}

// lognormal is a draw of mean 1 with such a standard deviation.
func lognormal(c *pcg.Source, spread float64) float64 {
	if spread <= 0 {
		return 1
	}
	sigma2 := math.Log(1 + spread*spread)
	return math.Exp(math.Sqrt(sigma2)*normal(c) - sigma2/2)
}

// exponential is a draw of mean 1.
func exponential(c *pcg.Source) float64 { return -math.Log(1 - c.Float64()) }

// A Pareto tail of exponent 1.5, cut at a hundred times its least, and its mean over that.
const (
	tailExponent = 1.5
	tailMost     = 100.0
)

var tailMean = tailExponent / (tailExponent - 1) * (1 - math.Pow(tailMost, 1-tailExponent)) / (1 - math.Pow(tailMost, -tailExponent))

func pareto(c *pcg.Source) float64 {
	u := c.Float64() * (1 - math.Pow(tailMost, -tailExponent))
	return math.Pow(1-u, -1/tailExponent)
}

// zipf draws ranks from 0 by Zipf's law.
type zipf struct{ sums []float64 }

func newZipf(n int, exponent float64) *zipf {
	z := &zipf{sums: make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
		z.sums[i] = sum
	}
	return z
}

func (z *zipf) draw(c *pcg.Source) int {
	want := c.Float64() * z.sums[len(z.sums)-1]
	low, high := 0, len(z.sums)-1
	for low < high {
		if mid := (low + high) / 2; z.sums[mid] > want {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}

func trim(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }
