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
	// simulationStep is the resolution of the simulation's virtual time.
	simulationStep = 50 * time.Millisecond
	// joinDuration and joinDurationPerHost x hosts pass before messages are
	// counted, so that all hosts have joined: hosts announce themselves at a
	// limited rate.
	joinDuration        = 30 * time.Second
	joinDurationPerHost = 500 * time.Millisecond
	// countDuration is how long messages are counted.
	countDuration = time.Minute
	// restartsPerSecondPerHost is the rate of restarts of each host at the target:
	// 29,000 restarts and 590 failures a day on 7,000 hosts.
	restartsPerSecondPerHost = 29_590.0 / 7_000 / daySeconds
)

// membershipSimulation runs membership tables in virtual time, without latency or
// message loss.
type membershipSimulation struct {
	now     time.Time
	tables  []*membership.Table
	index   map[model.HostID]int
	hosts   []membership.Host
	rand    *rand.Rand
	started uint64
	// bytes and messages are totals over all hosts, sent and received.
	bytes, messages, stateChanges float64
	encodeErr                     error
	// stubHosts have no table and only answer heartbeats. Together they change
	// state stubChangesPerSecond times a second.
	stubHosts            []membership.Update
	stubChangesPerSecond float64
}

func newMembershipSimulation(hosts, dataCentres int) *membershipSimulation {
	f := &membershipSimulation{now: time.Unix(1_700_000_000, 0), index: map[model.HostID]int{}, rand: rand.New(rand.NewPCG(1, 2)), started: 1}
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

func (f *membershipSimulation) newTable(h membership.Host) *membership.Table {
	f.started++
	return membership.New(membership.Config{
		Self: h, Incarnation: model.Incarnation(fmt.Sprintf("INCARNATION-%014d", f.started)), Start: uint64(f.now.UnixMilli()),
	}, rand.New(rand.NewPCG(f.started, 3)), f.now)
}

func (f *membershipSimulation) readHostList(i int) {
	list := make([]membership.ListedHost, len(f.hosts))
	for j, h := range f.hosts {
		list[j] = membership.ListedHost{Host: h}
	}
	f.execute(i, f.tables[i].ApplyHostList(f.now, list))
}

// run advances virtual time by d. Hosts restart at the target's rate, and a new
// epoch reaches one host every epochInterval, unless that is 0.
func (f *membershipSimulation) run(d, epochInterval time.Duration) {
	end, nextEpoch := f.now.Add(d), f.now.Add(epochInterval)
	for f.now.Before(end) && f.encodeErr == nil {
		f.now = f.now.Add(simulationStep)
		for i, t := range f.tables {
			if !t.NextWake(f.now).After(f.now) {
				f.execute(i, t.Tick(f.now))
			}
		}
		if f.rand.Float64() < f.stubChangesPerSecond*simulationStep.Seconds() {
			f.changeStubHost(f.rand.IntN(len(f.stubHosts)))
		}
		if f.rand.Float64() < restartsPerSecondPerHost*float64(len(f.tables))*simulationStep.Seconds() {
			f.restart(f.rand.IntN(len(f.tables)))
		}
		if epochInterval > 0 && !f.now.Before(nextEpoch) {
			nextEpoch = nextEpoch.Add(epochInterval)
			f.execute(0, f.tables[0].SetEpoch(f.now, model.Epoch(f.now.UnixMilli())))
		}
	}
}

func (f *membershipSimulation) restart(i int) {
	f.tables[i] = f.newTable(f.hosts[i])
	f.readHostList(i)
}

func (f *membershipSimulation) execute(i int, list []membership.Decision) {
	for _, d := range list {
		switch x := d.(type) {
		case membership.SendHeartbeat:
			f.heartbeat(i, x)
		case membership.Sync:
			f.sync(i, x)
		case membership.StateChanged:
			f.stateChanges++
		case membership.EpochSeen:
			f.execute(i, f.tables[i].SetEpoch(f.now, x.Epoch))
		}
	}
}

// changeStubHost changes the state of the k-th stub host and sends it to one host.
func (f *membershipSimulation) changeStubHost(k int) {
	p := &f.stubHosts[k]
	if p.State == membership.Alive {
		p.State = membership.Leaving
	} else {
		p.State, p.Start = membership.Alive, uint64(f.now.UnixMilli())
	}
	i := f.rand.IntN(len(f.tables))
	_, decisions := f.tables[i].Receive(f.now, membership.Message{From: *p})
	f.execute(i, decisions)
}

// addStubHosts adds n stub hosts, in the same data centres as the other hosts, to
// the host list and lets all tables read it.
func (f *membershipSimulation) addStubHosts(n, dataCentres int) {
	for k := range n {
		h := membershipHost(len(f.tables)+k, dataCentres)
		f.hosts = append(f.hosts, h)
		f.stubHosts = append(f.stubHosts, membership.Update{
			Host: h.ID, Incarnation: model.Incarnation(fmt.Sprintf("INCARNATION-%014d", k)), Version: membership.Version{Start: 1}, State: membership.Alive, Info: &h.Info,
		})
	}
	for i := range f.tables {
		f.readHostList(i)
	}
}

func (f *membershipSimulation) heartbeat(i int, x membership.SendHeartbeat) {
	to, ok := f.index[x.To.ID]
	if !ok {
		f.heartbeatToStub(i, x)
		return
	}
	answer, decisions := f.tables[to].Receive(f.now, x.Message)
	f.count("heartbeat", x.Message, answer)
	f.execute(i, f.tables[i].HeartbeatAnswered(f.now, x.To.ID, x.Token, answer))
	f.execute(to, decisions)
}

func (f *membershipSimulation) heartbeatToStub(i int, x membership.SendHeartbeat) {
	for _, p := range f.stubHosts {
		if p.Host == x.To.ID {
			answer := membership.Message{From: p}
			f.count("heartbeat", x.Message, answer)
			f.execute(i, f.tables[i].HeartbeatAnswered(f.now, x.To.ID, x.Token, answer))
		}
	}
}

func (f *membershipSimulation) sync(i int, x membership.Sync) {
	to, ok := f.index[x.With.ID]
	if !ok {
		return
	}
	answer, decisions := f.tables[to].Exchange(f.now, x.Page)
	f.count("exchange", x.Page, answer)
	f.execute(i, f.tables[i].SyncAnswered(f.now, x.With.ID, answer))
	f.execute(to, decisions)
}

// count adds the messages and bytes of a call and its answer. Each is sent by one
// host and received by another, so it counts twice.
func (f *membershipSimulation) count(method string, call, answer any) {
	request := jsonrpc2.Request{Method: method, ID: jsonrpc2.ID{Num: 1_000_000}}
	response := jsonrpc2.Response{ID: request.ID}
	for _, err := range []error{request.SetParams(call), response.SetResult(answer)} {
		if err != nil {
			f.encodeErr = err
		}
	}
	for _, message := range []any{&request, &response} {
		data, err := json.Marshal(message)
		if err != nil {
			f.encodeErr = err
		}
		f.bytes += 2 * float64(len(data))
		f.messages += 2
	}
}

// measureMembership measures the traffic and CPU time of heartbeats and table
// comparisons as functions of the number of hosts, in 4 and in 15 data centres,
// the memory and view of one table, and the traffic of host changes.
func measureMembership() ([]Fit, error) {
	fits, err := trafficFits("4", []int{20, 50, 200}, smallFleetDataCentres)
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

// churnHosts is the number of hosts with tables, and also that of stub hosts, in
// the measurement of state changes.
const churnHosts = 60

// churnFit measures the bytes a second that host changes cost each host.
func churnFit() (Fit, error) {
	fit := Fit{
		Name: "members.churn", Per: "host change/s in the fleet", Unit: "bytes/s per host, sent and received",
		Mechanism: fmt.Sprintf("core/membership digests: each host sends a change 2*log2(hosts) times, here %d", 2*bits.Len(2*churnHosts+1)),
	}
	for _, rate := range []float64{0, 0.35, 1, 3} {
		f := newMembershipSimulation(churnHosts, targetDataCentres)
		f.addStubHosts(churnHosts, targetDataCentres)
		f.stubChangesPerSecond = rate
		f.run(joinDuration+2*churnHosts*joinDurationPerHost, 0)
		f.bytes = 0
		f.run(countDuration, 0)
		if f.encodeErr != nil {
			return fit, f.encodeErr
		}
		fit.Points = append(fit.Points, Point{rate, f.bytes / churnHosts / countDuration.Seconds()})
	}
	return fit, nil
}

func trafficFits(suffix string, sizes []int, dataCentres int) ([]Fit, error) {
	bytes := Fit{Name: "members.bytes." + suffix, Per: "host in the fleet", Unit: "bytes/s per host, sent and received", Mechanism: "core/membership heartbeats, digests and comparisons as jsonrpc2, with the target's restarts and changes per host"}
	messages := Fit{Name: "members.messages." + suffix, Per: "host in the fleet", Unit: "messages/s per host, sent and received", Mechanism: bytes.Mechanism}
	cpu := Fit{Name: "members.cpu." + suffix, Per: "host in the fleet", Unit: "CPU s/s per host", Mechanism: "core/membership Table and JSON encoding, without connections"}
	for _, n := range sizes {
		f := newMembershipSimulation(n, dataCentres)
		every := time.Duration(float64(daySeconds) / targetChanges * float64(time.Second))
		f.run(joinDuration+time.Duration(n)*joinDurationPerHost, every)
		f.bytes, f.messages = 0, 0
		used, err := cpuOf(func() error { f.run(countDuration, every); return f.encodeErr })
		if err != nil {
			return nil, err
		}
		perHost := 1 / (float64(n) * countDuration.Seconds())
		bytes.Points = append(bytes.Points, Point{float64(n), f.bytes * perHost})
		messages.Points = append(messages.Points, Point{float64(n), f.messages * perHost})
		cpu.Points = append(cpu.Points, Point{float64(n), used.Seconds() * perHost})
	}
	return []Fit{bytes, messages, cpu}, nil
}

// timedViews is the number of calls of Table.View over which CPU time is averaged.
const timedViews = 20

// tableFits measures the memory of one table with its view, as a daemon holds
// them, and the CPU time of a view.
func tableFits() []Fit {
	memory := Fit{Name: "members.memory", Per: "host in the fleet", Unit: "bytes", Mechanism: "core/membership Table and the daemon's View"}
	view := Fit{Name: "members.view.cpu", Per: "host in the fleet", Unit: "CPU s/host change", Mechanism: "daemon members: a whole View for each change of a host's state"}
	for _, n := range []int{100, 1_000, 7_000} {
		var f *membershipSimulation
		memory.Points = append(memory.Points, Point{float64(n), heapGrowth(func() any {
			f = newSingleTable(n)
			v := f.tables[0].View()
			return [2]any{f.tables[0], v}
		})})
		used, _ := cpuOf(func() error {
			for range timedViews {
				f.tables[0].View()
			}
			return nil
		})
		view.Points = append(view.Points, Point{float64(n), used.Seconds() / timedViews})
	}
	return []Fit{memory, view}
}

// newSingleTable returns a simulation of one table that has read a list of n hosts.
func newSingleTable(n int) *membershipSimulation {
	f := &membershipSimulation{now: time.Unix(1_700_000_000, 0), index: map[model.HostID]int{}}
	f.tables = []*membership.Table{f.newTable(membershipHost(0, targetDataCentres))}
	list := make([]membership.ListedHost, n)
	for i := range n {
		list[i] = membership.ListedHost{Host: membershipHost(i, targetDataCentres)}
	}
	f.tables[0].ApplyHostList(f.now, list)
	return f
}
