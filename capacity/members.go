package capacity

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/agateusher/agateusher/core/membership"
	"github.com/agateusher/agateusher/core/model"
)

const (
	// tableStep is the resolution of the virtual time of the tables.
	tableStep = 50 * time.Millisecond
	// settleTime and settlePerHost pass before messages are counted, so that
	// the joins are over: every host announces itself at a bounded rate.
	settleTime    = 30 * time.Second
	settlePerHost = 500 * time.Millisecond
	// countTime is how long they are counted.
	countTime = time.Minute
	// restartsPerHost is the number of restarts a second and host at the
	// target: 29,000 restarts and 590 failures a day on 7,000 hosts.
	restartsPerHost = 29_590.0 / 7_000 / daySeconds
)

// tableFleet drives membership tables in virtual time, without latency and
// without loss.
type tableFleet struct {
	now     time.Time
	tables  []*membership.Table
	index   map[model.HostID]int
	hosts   []membership.Host
	rand    *rand.Rand
	started uint64
	// bytes and messages are those of all hosts, sent and received.
	bytes, messages, changes float64
	tableErr                 error
	// phantoms are hosts without a table; they answer heartbeats, and change
	// their state updateRate times a second together.
	phantoms   []membership.Update
	updateRate float64
}

func newTableFleet(hosts, dataCentres int) *tableFleet {
	f := &tableFleet{now: time.Unix(1_700_000_000, 0), index: map[model.HostID]int{}, rand: rand.New(rand.NewPCG(1, 2)), started: 1}
	for i := range hosts {
		h := membershipHost(i, dataCentres)
		f.index[h.ID] = i
		f.hosts = append(f.hosts, h)
		f.tables = append(f.tables, f.newTable(h))
	}
	for i := range f.tables {
		f.readHostList(i)
	}
	return f
}

func membershipHost(i, dataCentres int) membership.Host {
	return membership.Host{ID: model.HostID(fmt.Sprintf("host-%05d", i)), Info: membership.Info{
		DataCentre: dataCentre(i % dataCentres), Region: model.Region(fmt.Sprint("region-", i%dataCentres%targetRegions)),
		FleetAddress: fmt.Sprintf("10.20.%d.%d:7001", i>>8, i&255), PeerAddress: fmt.Sprintf("10.20.%d.%d:7002", i>>8, i&255),
	}}
}

func (f *tableFleet) newTable(h membership.Host) *membership.Table {
	f.started++
	return membership.New(membership.Config{
		Self: h, Incarnation: model.Incarnation(fmt.Sprintf("INCARNATION-%014d", f.started)), Start: uint64(f.now.UnixMilli()),
	}, rand.New(rand.NewPCG(f.started, 3)), f.now)
}

func (f *tableFleet) readHostList(i int) {
	list := make([]membership.ListedHost, len(f.hosts))
	for j, h := range f.hosts {
		list[j] = membership.ListedHost{Host: h}
	}
	f.execute(i, f.tables[i].ApplyHostList(f.now, list))
}

// run advances virtual time. Hosts restart at the target's rate, and a new
// epoch reaches one host at each interval.
func (f *tableFleet) run(d, epochEvery time.Duration) {
	end, nextEpoch := f.now.Add(d), f.now.Add(epochEvery)
	for f.now.Before(end) && f.tableErr == nil {
		f.now = f.now.Add(tableStep)
		for i, t := range f.tables {
			if !t.NextWake(f.now).After(f.now) {
				f.execute(i, t.Tick(f.now))
			}
		}
		if f.rand.Float64() < f.updateRate*tableStep.Seconds() {
			f.changePhantom(f.rand.IntN(len(f.phantoms)))
		}
		if f.rand.Float64() < restartsPerHost*float64(len(f.tables))*tableStep.Seconds() {
			f.restart(f.rand.IntN(len(f.tables)))
		}
		if epochEvery > 0 && !f.now.Before(nextEpoch) {
			nextEpoch = nextEpoch.Add(epochEvery)
			f.execute(0, f.tables[0].SetEpoch(f.now, model.Epoch(f.now.UnixMilli())))
		}
	}
}

func (f *tableFleet) restart(i int) {
	f.tables[i] = f.newTable(f.hosts[i])
	f.readHostList(i)
}

func (f *tableFleet) execute(i int, list []membership.Decision) {
	for _, d := range list {
		switch x := d.(type) {
		case membership.SendHeartbeat:
			f.heartbeat(i, x)
		case membership.Sync:
			f.sync(i, x)
		case membership.StateChanged:
			f.changes++
		case membership.EpochSeen:
			f.execute(i, f.tables[i].SetEpoch(f.now, x.Epoch))
		}
	}
}

// changePhantom gives a host without a table a new state and tells one host.
func (f *tableFleet) changePhantom(k int) {
	p := &f.phantoms[k]
	if p.State == membership.Alive {
		p.State = membership.Leaving
	} else {
		p.State, p.Start = membership.Alive, uint64(f.now.UnixMilli())
	}
	i := f.rand.IntN(len(f.tables))
	_, decisions := f.tables[i].Receive(f.now, membership.Message{From: *p})
	f.execute(i, decisions)
}

// addPhantoms lists n hosts without tables, in the data centres of the others.
func (f *tableFleet) addPhantoms(n, dataCentres int) {
	for k := range n {
		h := membershipHost(len(f.tables)+k, dataCentres)
		f.hosts = append(f.hosts, h)
		f.phantoms = append(f.phantoms, membership.Update{
			Host: h.ID, Incarnation: model.Incarnation(fmt.Sprintf("INCARNATION-%014d", k)), Version: membership.Version{Start: 1}, State: membership.Alive, Info: &h.Info,
		})
	}
	for i := range f.tables {
		f.readHostList(i)
	}
}

func (f *tableFleet) heartbeat(i int, x membership.SendHeartbeat) {
	to, ok := f.index[x.To.ID]
	if !ok {
		f.phantomHeartbeat(i, x)
		return
	}
	answer, decisions := f.tables[to].Receive(f.now, x.Message)
	f.count("heartbeat", x.Message, answer)
	f.execute(i, f.tables[i].HeartbeatAnswered(f.now, x.To.ID, x.Token, answer))
	f.execute(to, decisions)
}

func (f *tableFleet) phantomHeartbeat(i int, x membership.SendHeartbeat) {
	for _, p := range f.phantoms {
		if p.Host == x.To.ID {
			answer := membership.Message{From: p}
			f.count("heartbeat", x.Message, answer)
			f.execute(i, f.tables[i].HeartbeatAnswered(f.now, x.To.ID, x.Token, answer))
		}
	}
}

func (f *tableFleet) sync(i int, x membership.Sync) {
	to, ok := f.index[x.With.ID]
	if !ok {
		return
	}
	answer, decisions := f.tables[to].Exchange(f.now, x.Page)
	f.count("exchange", x.Page, answer)
	f.execute(i, f.tables[i].SyncAnswered(f.now, x.With.ID, answer))
	f.execute(to, decisions)
}

// count adds a call and its answer. Each is sent by one host and received by
// another, so it counts twice.
func (f *tableFleet) count(method string, call, answer any) {
	request := jsonrpc2.Request{Method: method, ID: jsonrpc2.ID{Num: 1_000_000}}
	response := jsonrpc2.Response{ID: request.ID}
	for _, err := range []error{request.SetParams(call), response.SetResult(answer)} {
		if err != nil {
			f.tableErr = err
		}
	}
	for _, message := range []any{&request, &response} {
		data, err := json.Marshal(message)
		if err != nil {
			f.tableErr = err
		}
		f.bytes += 2 * float64(len(data))
		f.messages += 2
	}
}

// measureMembership counts heartbeats and comparisons against the number of
// hosts, in 4 and in 15 data centres, and measures a table's memory.
func measureMembership() ([]Fit, error) {
	fits, err := trafficFits("4", []int{20, 50, 200}, lightDataCentres)
	if err != nil {
		return nil, err
	}
	wide, err := trafficFits("15", []int{75, 120, 180}, targetDataCentres)
	if err != nil {
		return nil, err
	}
	fits = append(append(fits, wide...), tableFits()...)
	churn, err := churnFit()
	return append(fits, churn), err
}

// churnHosts is the number of hosts with tables, and as many without, while
// the cost of state changes is measured.
const churnHosts = 60

// churnFit measures what the spread of host changes costs each host.
func churnFit() (Fit, error) {
	fit := Fit{
		Name: "members.churn", Per: "host change/s in the fleet", Unit: "bytes/s per host, sent and received",
		Mechanism: fmt.Sprintf("core/membership digests: each host sends a change 2*log2(hosts) times, here %d", 2*bits.Len(2*churnHosts+1)),
	}
	for _, rate := range []float64{0, 0.35, 1, 3} {
		f := newTableFleet(churnHosts, targetDataCentres)
		f.addPhantoms(churnHosts, targetDataCentres)
		f.updateRate = rate
		f.run(settleTime+2*churnHosts*settlePerHost, 0)
		f.bytes = 0
		f.run(countTime, 0)
		if f.tableErr != nil {
			return fit, f.tableErr
		}
		fit.Points = append(fit.Points, Point{rate, f.bytes / churnHosts / countTime.Seconds()})
	}
	return fit, nil
}

func trafficFits(suffix string, sizes []int, dataCentres int) ([]Fit, error) {
	bytes := Fit{Name: "members.bytes." + suffix, Per: "host in the fleet", Unit: "bytes/s per host, sent and received", Mechanism: "core/membership heartbeats, digests and comparisons as jsonrpc2, with the target's restarts and changes per host"}
	messages := Fit{Name: "members.messages." + suffix, Per: "host in the fleet", Unit: "messages/s per host, sent and received", Mechanism: bytes.Mechanism}
	cpu := Fit{Name: "members.cpu." + suffix, Per: "host in the fleet", Unit: "CPU s/s per host", Mechanism: "core/membership Table and JSON encoding, without connections"}
	for _, n := range sizes {
		f := newTableFleet(n, dataCentres)
		every := time.Duration(float64(daySeconds) / targetChanges * float64(time.Second))
		f.run(settleTime+time.Duration(n)*settlePerHost, every)
		f.bytes, f.messages = 0, 0
		used, err := cpuOf(func() error { f.run(countTime, every); return f.tableErr })
		if err != nil {
			return nil, err
		}
		perHost := 1 / (float64(n) * countTime.Seconds())
		bytes.Points = append(bytes.Points, Point{float64(n), f.bytes * perHost})
		messages.Points = append(messages.Points, Point{float64(n), f.messages * perHost})
		cpu.Points = append(cpu.Points, Point{float64(n), used.Seconds() * perHost})
	}
	return []Fit{bytes, messages, cpu}, nil
}

// viewRepeats is the number of views that are timed.
const viewRepeats = 20

// tableFits measures one table with its view, as the daemon holds it.
func tableFits() []Fit {
	memory := Fit{Name: "members.memory", Per: "host in the fleet", Unit: "bytes", Mechanism: "core/membership Table and the daemon's View"}
	view := Fit{Name: "members.view.cpu", Per: "host in the fleet", Unit: "CPU s/host change", Mechanism: "daemon members: a whole View for each change of a host's state"}
	for _, n := range []int{100, 1_000, 7_000} {
		var f *tableFleet
		memory.Points = append(memory.Points, Point{float64(n), added(func() any {
			f = oneTable(n)
			v := f.tables[0].View()
			return [2]any{f.tables[0], v}
		})})
		used, _ := cpuOf(func() error {
			for range viewRepeats {
				f.tables[0].View()
			}
			return nil
		})
		view.Points = append(view.Points, Point{float64(n), used.Seconds() / viewRepeats})
	}
	return []Fit{memory, view}
}

// oneTable returns one table that has read a host list of n hosts.
func oneTable(n int) *tableFleet {
	f := &tableFleet{now: time.Unix(1_700_000_000, 0), index: map[model.HostID]int{}}
	f.tables = []*membership.Table{f.newTable(membershipHost(0, targetDataCentres))}
	list := make([]membership.ListedHost, n)
	for i := range n {
		list[i] = membership.ListedHost{Host: membershipHost(i, targetDataCentres)}
	}
	f.tables[0].ApplyHostList(f.now, list)
	return f
}
