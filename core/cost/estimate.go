package cost

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"time"
)

// Request is what is known of a request before it is sent.
type Request struct {
	Service, Route, Method string
	// Path is the first path element below the prefix of the route.
	Path string
	// Workspace is empty if the request belongs to none.
	Workspace string
	// Bytes is the size of the body; negative if not known.
	Bytes int
}

const (
	// halfLife is the time after which a sample counts half.
	halfLife = time.Minute
	// priorWeight is how many samples a class needs until its own mean counts as much as
	// the estimate of the class above it.
	priorWeight = 4
	// maxRatio bounds the estimate of a class in relation to that of its service.
	maxRatio = 16
	// maxSampleRatio caps a sample in relation to its estimate, so that a single long
	// request cannot change an estimate much.
	maxSampleRatio = 8
	// maxWorkspaceShare is the share of the weight of a class of all workspaces from which
	// a sample of one workspace counts only excessWeight there. It is above zero for the
	// classes of a single workspace.
	maxWorkspaceShare = 0.1
	excessWeight      = 0.01
	// ways is the number of classes in a set, and sets the number of sets: 4,096 classes
	// use about 400 KB.
	ways, sets = 4, 1024
	// maxMergedWeight bounds the samples of a class that one digest adds.
	maxMergedWeight = 64
	// assumedDeviation is the relative deviation of service times while there are too few
	// samples to know it.
	assumedDeviation = 1
)

// Cell is the sum of the samples of a class, in seconds.
type Cell struct {
	Key         uint64
	Weight, Sum float64
	// Squares is the sum of the squares.
	Squares float64
}

func (c Cell) plus(d Cell, scale float64) Cell {
	return Cell{Key: c.Key, Weight: c.Weight + d.Weight*scale, Sum: c.Sum + d.Sum*scale, Squares: c.Squares + d.Squares*scale}
}

// class is a cell in use, as of the time updatedAt.
type class struct {
	Cell
	updatedAt time.Time
	// unsent has the samples of this daemon since the last digest.
	unsent Cell
	// shared is the weight that the samples of a workspace have in the class of all.
	shared float64
}

// decayed returns the cell at the time now.
func (c *class) decayed(now time.Time) Cell {
	scale := math.Exp2(-max(0, now.Sub(c.updatedAt).Seconds()) / halfLife.Seconds())
	return Cell{Key: c.Key}.plus(c.Cell, scale)
}

// Estimator holds the classes of all services in a fixed amount of memory.
type Estimator struct {
	classes [sets][ways]class
}

// levels has the keys of the classes of a request, from the service down.
type levels [4]uint64

func keysOf(r Request) levels {
	size := 0
	if r.Bytes > 0 {
		// Size classes grow by a factor of 8.
		size = 1 + bits.Len(uint(r.Bytes))/3
	}
	k := levels{key(r.Service), key(r.Service, r.Route, r.Method, string(rune('a'+size)))}
	k[2], k[3] = k[1], 0
	if r.Path != "" {
		k[2] = key(r.Service, r.Route, r.Method, string(rune('a'+size)), r.Path)
	}
	if r.Workspace != "" {
		var parent [8]byte
		binary.BigEndian.PutUint64(parent[:], k[2])
		k[3] = key("workspace", string(parent[:]), r.Workspace)
	}
	return k
}

// key returns the key of a class. It is the same on all hosts, and callers, who choose
// paths, cannot find two that collide with a given one.
func key(parts ...string) uint64 {
	var text []byte
	for _, p := range parts {
		text = binary.AppendUvarint(text, uint64(len(p)))
		text = append(text, p...)
	}
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:8])
}

// find returns the class with the key, or nil.
func (e *Estimator) find(k uint64) *class {
	set := &e.classes[k%sets]
	for i := range set {
		if set[i].Key == k && set[i].Weight > 0 {
			return &set[i]
		}
	}
	return nil
}

// Estimate is the expected service time of a request.
type Estimate struct {
	Mean time.Duration
	// Deviation is the uncertainty of Mean: its standard error.
	Deviation time.Duration
}

// Cautious returns the mean plus its uncertainty.
func (e Estimate) Cautious() time.Duration { return e.Mean + e.Deviation }

// Estimate returns the expected service time of a request; zero if nothing is known of
// its service.
func (e *Estimator) Estimate(now time.Time, r Request) Estimate { return e.estimate(now, keysOf(r)) }

func (e *Estimator) estimate(now time.Time, keys levels) Estimate {
	top := e.find(keys[0])
	if top == nil {
		return Estimate{}
	}
	cell := top.decayed(now)
	service := cell.Sum / cell.Weight
	mean, weight, variance := service, cell.Weight, max(0, cell.Squares/cell.Weight-service*service)
	for i, k := range keys[1:] {
		c := e.find(k)
		if c == nil || k == keys[i] {
			continue
		}
		cell := c.decayed(now)
		own := cell.Sum / cell.Weight
		parent := mean
		mean = (cell.Sum + priorWeight*parent) / (cell.Weight + priorWeight)
		weight = cell.Weight
		// The distance of the parent is part of the uncertainty while it counts.
		variance = (max(0, cell.Squares-cell.Sum*own) + priorWeight*(variance+(own-parent)*(own-parent))) / (cell.Weight + priorWeight)
		mean = min(max(mean, service/maxRatio), service*maxRatio)
	}
	variance += assumedDeviation * assumedDeviation * mean * mean / (1 + weight)
	return Estimate{Mean: seconds(mean), Deviation: seconds(min(mean, math.Sqrt(variance/(priorWeight+weight))))}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Observe records the service time of a finished request, without its wait for a slot.
func (e *Estimator) Observe(now time.Time, r Request, took time.Duration) {
	keys := keysOf(r)
	sample := max(took.Seconds(), 1e-4)
	if known := e.estimate(now, keys).Mean.Seconds(); known > 0 {
		sample = min(sample, maxSampleRatio*known)
	}
	weight := 1.0
	if r.Workspace != "" {
		own, all := e.add(now, Cell{Key: keys[3], Weight: 1, Sum: sample, Squares: sample * sample}), e.find(keys[2])
		if all != nil && own.shared > maxWorkspaceShare*all.decayed(now).Weight {
			weight = excessWeight
		}
		own.shared += weight
		own.unsent = own.unsent.plus(Cell{Weight: 1, Sum: sample, Squares: sample * sample}, 1)
	}
	for i, k := range keys[:3] {
		if i > 0 && k == keys[i-1] {
			continue
		}
		s := Cell{Key: k, Weight: weight, Sum: weight * sample, Squares: weight * sample * sample}
		c := e.add(now, s)
		c.unsent = c.unsent.plus(s, 1)
	}
}

// add adds samples to a class. A new class replaces the one of the least weight in its set.
func (e *Estimator) add(now time.Time, s Cell) *class {
	c := e.find(s.Key)
	if c == nil {
		set := &e.classes[s.Key%sets]
		least := 0
		for i := range set {
			if set[i].decayed(now).Weight < set[least].decayed(now).Weight {
				least = i
			}
		}
		c = &set[least]
		*c = class{Cell: Cell{Key: s.Key}, unsent: Cell{Key: s.Key}}
	}
	before := c.decayed(now)
	if c.Weight > 0 {
		c.shared *= before.Weight / c.Weight
	}
	c.Cell, c.updatedAt = before.plus(s, 1), now
	return c
}

// Digest returns the samples of this daemon since the last call, at most limit classes,
// those of the most samples first. The others stay for the next digest.
func (e *Estimator) Digest(limit int) []Cell {
	var waiting []*class
	for i := range e.classes {
		for j := range e.classes[i] {
			if c := &e.classes[i][j]; c.unsent.Weight > 0 {
				waiting = append(waiting, c)
			}
		}
	}
	slices.SortFunc(waiting, func(a, b *class) int {
		return cmp.Or(cmp.Compare(b.unsent.Weight, a.unsent.Weight), cmp.Compare(a.Key, b.Key))
	})
	var list []Cell
	for _, c := range waiting[:min(limit, len(waiting))] {
		list = append(list, c.unsent)
		c.unsent = Cell{Key: c.Key}
	}
	return list
}

// Merge adds samples of other daemons. Cells that no samples can have are left out.
func (e *Estimator) Merge(now time.Time, list []Cell) {
	for _, s := range list {
		valid := s.Key != 0 && s.Weight > 0 && s.Sum > 0 && s.Sum <= s.Weight*time.Hour.Seconds() &&
			s.Squares*s.Weight >= 0.99*s.Sum*s.Sum && !math.IsInf(s.Squares, 0)
		if valid {
			e.add(now, Cell{Key: s.Key}.plus(s, min(1, maxMergedWeight/s.Weight)))
		}
	}
}
