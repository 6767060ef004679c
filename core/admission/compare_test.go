package admission_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/admission"
	"github.com/agateusher/agateusher/core/balance"
	"github.com/agateusher/agateusher/core/model"
)

const (
	hosts, servers, slots = 20, 24, 6
	meanService           = 400 * time.Millisecond
	timeout, target       = 5 * time.Second, 2 * time.Second
	sheddingAt, runTime   = 12 * time.Second, 32 * time.Second
	service               = model.ServiceName("s")
)

// shedding is a time in which each server rejects a share of the attempts at random.
type shedding struct {
	share, load float64
	duration    time.Duration
}

// result is the outcome of the requests that arrive from the start of the shedding on.
type result struct {
	served, late, refused, repeats int
	// value counts an answer 1, a late one 0.5.
	value float64
	// overBudget is by how much the repeats of any 10 s exceeded the rule.
	overBudget float64
	// normalAfter is the number of seconds after the end of the shedding until at most
	// 5% of the requests that arrive in a second are late or refused.
	normalAfter int
	total, bad  [60]int // by the second of arrival
}

type call struct {
	admission.Request
	host    int
	arrived time.Time
	tried   []balance.ServerKey
}

type event struct {
	at  time.Time
	run func()
}

// plant is one data centre in virtual time.
type plant struct {
	shedding
	hold     bool
	now      time.Time
	start    time.Time
	pending  []event
	random   *rand.Rand
	table    *balance.Table
	hosts    [hosts]admission.Controller
	waiting  map[*admission.Held]*call
	freeAt   [servers + 1][slots]time.Time
	attempts uint64
	// firstAt and repeatAt are the times of first and of further attempts.
	firstAt, repeatAt []time.Time
	result            result
}

func (p *plant) after(d time.Duration, run func()) {
	e := event{p.now.Add(d), run}
	i, _ := slices.BinarySearchFunc(p.pending, e, func(a, b event) int { return cmp.Or(a.at.Compare(b.at), -1) })
	p.pending = slices.Insert(p.pending, i, e)
}

func run(s shedding, hold bool, seed uint64) result {
	start := time.Unix(1000, 0)
	p := &plant{shedding: s, hold: hold, now: start, start: start, random: rand.New(rand.NewPCG(seed, 1)), waiting: map[*admission.Held]*call{}}
	p.table = balance.NewTable(balance.Options{
		DataCentre: "a", Region: "r", Model: balance.Model{FailWhenServing: 0.015, FailWhenFailing: 0.75, OnsetRate: 0.04, RecoveryRate: 0.25},
		Costs:  balance.Costs{IdempotentFailure: 1, NonIdempotentFailure: 2, RetriableFailure: 0.3, LateResponse: 0.4, UnreachablePath: 0.6, SheddingServer: 0.3},
		Budget: balance.Budget{Ratio: 0.2, Slack: 35, Window: 10 * time.Second},
	})
	var list []balance.Server
	for i := range servers {
		list = append(list, balance.Server{Key: balance.ServerKey(i + 1), Service: service, DataCentre: "a", Region: "r", Slots: slots})
	}
	p.table.SetServers(start, list, 1)
	arrivals := rand.New(rand.NewPCG(seed, 2))
	p.after(0, func() { p.arrive(arrivals) })
	p.after(0, p.tick)
	for len(p.pending) > 0 {
		e := p.pending[0]
		p.pending, p.now = p.pending[1:], e.at
		e.run()
	}
	over := int((sheddingAt + s.duration + time.Second - 1) / time.Second)
	for 20*p.result.bad[over+p.result.normalAfter] > p.result.total[over+p.result.normalAfter] {
		p.result.normalAfter++
	}
	for _, from := range p.repeatAt {
		p.result.overBudget = max(p.result.overBudget, within(p.repeatAt, from)-35-0.2*within(p.firstAt, from))
	}
	return p.result
}

// within counts the times in the 10 s after from.
func within(times []time.Time, from time.Time) float64 {
	before := func(end time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(end) })
	}
	return float64(before(from.Add(10*time.Second)) - before(from))
}

func (p *plant) state() admission.State {
	return admission.State{Capacity: p.table.Capacity(p.now, service), ServiceTime: p.table.MeanServiceTime(service)}
}

func (p *plant) arrive(arrivals *rand.Rand) {
	p.send(&call{host: arrivals.IntN(hosts), arrived: p.now, Request: admission.Request{Idempotent: true, Target: p.now.Add(target), Deadline: p.now.Add(timeout)}})
	if p.now.Sub(p.start) < runTime {
		perSecond := p.load * servers * slots / meanService.Seconds()
		p.after(time.Duration(arrivals.ExpFloat64()/perSecond*float64(time.Second)), func() { p.arrive(arrivals) })
	}
}

func (p *plant) tick() {
	if p.now.Sub(p.start) < runTime+timeout {
		p.after(50*time.Millisecond, p.tick)
	}
	for h := range p.hosts {
		p.hosts[h].SampleServiceTime(p.table.MeanServiceTime(service))
		for _, r := range p.hosts[h].Release(p.now, p.state()) {
			if r.Refuse || !p.table.AllowRetry(p.now, service, true) {
				p.finish(p.waiting[r.Held], false)
			} else {
				p.send(p.waiting[r.Held])
			}
		}
	}
}

// send sends a request to at most two servers, and then again to one of them.
func (p *plant) send(c *call) {
	q := balance.Query{Service: service, Idempotent: true, CanRetry: len(c.tried) == 0, TargetLatency: target, Excluded: c.tried, TieBreak: p.random.Uint64()}
	if len(c.tried) >= 2 {
		q.Allowed, q.Excluded = c.tried, c.tried[len(c.tried)-1:]
	}
	choice, _ := p.table.Choose(p.now, q)
	k := choice.Server.Key
	c.tried = append(c.tried, k)
	p.attempts++
	a := balance.AttemptKey{Host: model.HostID(fmt.Sprint(c.host)), Number: p.attempts}
	p.table.AttemptStarted(p.now, k, a, len(c.tried) > 1)
	if len(c.tried) > 1 {
		p.repeatAt = append(p.repeatAt, p.now)
		p.result.repeats++
	} else {
		p.firstAt = append(p.firstAt, p.now)
	}
	for h := range p.hosts {
		p.hosts[h].Started(p.now, h == c.host, len(c.tried) > 1)
	}
	sentAt, since := p.now, p.now.Sub(p.start)-sheddingAt
	end := func(r balance.Result) {
		p.table.AttemptFinished(p.now, k, a, r, p.now.Sub(sentAt))
		for h := range p.hosts {
			p.hosts[h].Ended(p.now, k, r == balance.Shed)
		}
	}
	if (since >= 0 && since < p.duration && p.random.Float64() < p.share) || p.random.Float64() < 0.01 {
		p.after(2*time.Millisecond, func() { end(balance.Shed); p.rejected(c) })
		return
	}
	// The request runs in the slot that becomes free first.
	slices.SortFunc(p.freeAt[k][:], time.Time.Compare)
	wait := max(0, p.freeAt[k][0].Sub(p.now)) + time.Duration(p.random.ExpFloat64()*float64(meanService))
	p.freeAt[k][0] = p.now.Add(wait)
	p.after(wait, func() { end(balance.Succeeded); p.finish(c, true) })
}

func (p *plant) rejected(c *call) {
	if p.hold {
		if held := p.hosts[c.host].Hold(p.now, c.Request, p.state()); held != nil {
			p.waiting[held] = c
			return
		}
	}
	switch {
	case len(c.tried) >= 5 || !p.table.AllowRetry(p.now, service, true):
		p.finish(c, false)
	case len(c.tried) < 2:
		p.send(c)
	default:
		p.after(50*time.Millisecond, func() { p.send(c) })
	}
}

func (p *plant) finish(c *call, answered bool) {
	if c.arrived.Sub(p.start) < sheddingAt {
		return
	}
	took, r := p.now.Sub(c.arrived), &p.result
	second := int(c.arrived.Sub(p.start) / time.Second)
	r.total[second]++
	if answered && took <= target {
		r.served++
		r.value++
		return
	}
	r.bad[second]++
	if answered && took <= timeout {
		r.late++
		r.value += 0.5
	} else {
		r.refused++
	}
}

// Guards against holding that serves less than immediate repeats, and against repeats
// beyond the budget: each server rejects a share of the attempts at random for a time.
func TestHoldingServesMoreThanImmediateRepeats(t *testing.T) {
	for _, load := range []float64{0.3, 0.7, 1} {
		for _, share := range []float64{0.5, 0.7, 0.9, 1} {
			for _, d := range []time.Duration{time.Second, 4 * time.Second, 8500 * time.Millisecond} {
				t.Run(fmt.Sprintf("shed %.1f load %.1f time %s", share, load, d), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					now, held := run(shedding{share, load, d}, false, 1), run(shedding{share, load, d}, true, 1)
					for _, r := range []result{now, held} {
						t.Logf("served %d late %d refused %d repeats %d value %.0f normal after %d s", r.served, r.late, r.refused, r.repeats, r.value, r.normalAfter)
					}
					g.Expect(held.value).To(BeNumerically(">=", 0.985*now.value))
					g.Expect(held.overBudget).To(BeNumerically("<=", 0))
				})
			}
		}
	}
}
