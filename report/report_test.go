package report

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/big"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/kernel"
	"github.com/agateusher/agateusher/objectapi"
	"github.com/agateusher/agateusher/standin/platform"
)

var (
	ctx    = context.Background()
	lagos  = time.FixedZone("WAT", 3600)
	noon   = time.Date(2026, 12, 4, 12, 0, 0, 0, lagos)
	day    = Day("2026-12-04")
	bookA  = RowKey{Service: "booking", Workspace: "desk-a"}
	ledger = RowKey{Service: "ledger", Workspace: "desk-a"}
)

// rig is a stand-in platform with a clock that the test sets.
type rig struct {
	*WithT
	platform *platform.Platform
	store    *objectapi.Client
	now      time.Time
	hosts    []model.HostID
}

func newRig(t *testing.T) *rig {
	r := &rig{WithT: NewWithT(t), now: noon}
	r.platform = platform.New(platform.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	store, err := objectapi.NewClient(objectapi.ClientOptions{BaseURL: "http://127.0.0.1:1", Transport: r.platform.Transport()})
	r.Expect(err).NotTo(HaveOccurred())
	r.store = store
	return r
}

func (r *rig) clock() time.Time { return r.now }

// host is one process that counts and flushes.
type host struct {
	*Recorder
	*Flusher
}

func (r *rig) host(id model.HostID, incarnation model.Incarnation) host {
	log := logrus.New()
	log.SetOutput(io.Discard)
	rec := NewRecorder(RecorderOptions{Host: id, Incarnation: incarnation, Zone: lagos, Started: r.now})
	return host{rec, NewFlusher(FlusherOptions{Recorder: rec, Store: r.store, Log: log, WritesPerSecond: 1e9, Now: r.clock})}
}

func (r *rig) read(d Day) *Daily {
	reader := NewReader(ReaderOptions{
		Store: r.store, Zone: lagos, ReadsPerSecond: 1e9, Now: r.clock,
		Hosts: func(context.Context) ([]model.HostID, error) { return r.hosts, nil },
	})
	daily, err := reader.Day(ctx, d)
	r.Expect(err).NotTo(HaveOccurred())
	return daily
}

func (r *rig) answer(h host, k RowKey, n int) {
	for range n {
		h.Record(r.now, Sample{RowKey: k, Outcome: model.Answered, Latency: 20 * time.Millisecond})
	}
}

func (r *rig) requests(d Day) uint64 { return requestsIn(r.read(d)) }

func requestsIn(d *Daily) uint64 {
	var total uint64
	for _, row := range d.Rows {
		total += row.Requests
	}
	return total
}

// Guards against counts that a repeated flush, a lost reply, a lost request or
// an outage doubles or loses.
func TestFlushCountsOnce(t *testing.T) {
	r := newRig(t)
	h := r.host("h1", "i1")
	r.answer(h, bookA, 3)
	r.Expect(h.Flush(ctx, false)).To(Succeed())
	r.Expect(h.Flush(ctx, false)).To(Succeed())
	r.Expect(r.requests(day)).To(Equal(uint64(3)))

	r.answer(h, bookA, 2)
	r.platform.SetFaults(platform.Faults{LoseReplies: 1})
	r.Expect(h.Flush(ctx, false)).To(Succeed())
	r.Expect(r.requests(day)).To(Equal(uint64(5)))

	r.answer(h, bookA, 2)
	r.platform.SetFaults(platform.Faults{LoseRequests: 1})
	r.Expect(h.Flush(ctx, false)).To(Succeed())
	r.Expect(r.requests(day)).To(Equal(uint64(7)))

	r.answer(h, bookA, 1)
	r.platform.SetFaults(platform.Faults{LoseReplies: -1})
	var failure *FlushError
	r.Expect(errors.As(h.Flush(ctx, false), &failure)).To(BeTrue())
	r.platform.SetFaults(platform.Faults{})
	r.answer(h, bookA, 1)
	r.Expect(h.Flush(ctx, false)).To(Succeed())
	r.Expect(r.requests(day)).To(Equal(uint64(9)))
}

// Guards against a new incarnation that overwrites the counts of the one that
// it replaces, and against a report by the current host list alone.
func TestReplacedHostKeepsItsCounts(t *testing.T) {
	r := newRig(t)
	r.hosts = []model.HostID{"h1"}
	for _, id := range []model.HostID{"h1", "h2"} {
		old := r.host(id, "old-"+model.Incarnation(id))
		r.answer(old, bookA, 3)
		r.Expect(old.Flush(ctx, true)).To(Succeed())
	}
	fresh := r.host("h1", "new")
	r.answer(fresh, bookA, 4)
	r.Expect(fresh.Flush(ctx, true)).To(Succeed())
	r.Expect(r.requests(day)).To(Equal(uint64(10)))
	r.Expect(r.read(day).Missing).To(BeEmpty())
}

// Guards against missing or stale data that a report does not mention.
func TestMissingHosts(t *testing.T) {
	r := newRig(t)
	r.hosts = []model.HostID{"absent", "killed", "late", "mute", "new", "torn"}
	killed, late, mute, torn := r.host("killed", "k"), r.host("late", "l"), r.host("mute", "m"), r.host("torn", "t")
	for i := range rowsPerPart + 1 {
		r.answer(torn, RowKey{Service: "booking", Workspace: model.WorkspaceID(fmt.Sprint("w", i))}, 1)
	}
	for _, h := range []host{killed, late, torn} {
		r.Expect(h.Flush(ctx, h == torn)).To(Succeed())
	}
	second, err := r.store.Get(ctx, partKey(day, "torn", "t", 1))
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(r.store.Delete(ctx, second.Key, second.Version)).To(Succeed())
	r.Expect(r.read(day).Missing).To(HaveLen(4), "absent, mute, new and torn; the others are fresh")

	r.now = time.Date(2026, 12, 5, 0, 0, 1, 0, lagos)
	r.Expect(late.Flush(ctx, false)).To(Succeed())
	r.Expect(mute.Flush(ctx, false)).To(Succeed())
	r.Expect(r.host("new", "n").Flush(ctx, false)).To(Succeed())
	_, err = r.store.Put(ctx, "reports/2026-12-04/odd/x/0", []byte("{"), 0)
	r.Expect(err).NotTo(HaveOccurred())
	got := map[model.HostID]string{}
	for _, m := range r.read(day).Missing {
		got[m.Host] = m.Problem
	}
	r.Expect(got).To(Equal(map[model.HostID]string{
		"absent": "no data",
		"killed": "no data after 2026-12-04T12:00:00+01:00",
		"late":   "the end of the day is not written yet",
		"mute":   "no data",
		"odd":    "report object reports/2026-12-04/odd/x/0: unexpected end of JSON input",
		"torn":   "1 of 2 parts are missing",
	}))
	r.now = r.now.Add(time.Minute)
	r.Expect(late.Flush(ctx, false)).To(Succeed())
	r.Expect(r.read(day).Missing).NotTo(ContainElement(HaveField("Host", model.HostID("late"))))
}

// Guards against counts on the wrong day and against a finished day whose
// objects a late request would overwrite.
func TestMidnight(t *testing.T) {
	r := newRig(t)
	h := r.host("h1", "i1")
	r.now = time.Date(2026, 12, 4, 23, 59, 59, 0, lagos)
	r.answer(h, bookA, 2)
	midnight := r.now.Add(time.Second)
	r.now = midnight
	r.answer(h, bookA, 3)
	r.Expect(h.Flush(ctx, false)).To(Succeed())
	h.Record(midnight.Add(-time.Millisecond), Sample{RowKey: bookA, Outcome: model.Unknown})
	r.now = midnight.Add(dayGrace)
	r.Expect(h.Flush(ctx, false)).To(Succeed())
	h.Record(midnight.Add(-time.Millisecond), Sample{RowKey: bookA, Outcome: model.Unknown})
	r.Expect(h.Flush(ctx, false)).To(Succeed())
	r.Expect(r.requests(day)).To(Equal(uint64(3)))
	r.Expect(r.requests(day.Next())).To(Equal(uint64(4)))
	r.Expect(r.read(day).Missing).To(BeEmpty())
}

// Guards against ejections whose time is lost at midnight or counted twice when
// two owners see the same one.
func TestEjections(t *testing.T) {
	r := newRig(t)
	a, b := r.host("h1", "a"), r.host("h2", "b")
	at := func(h, m int) time.Time { return time.Date(2026, 12, 4, h, m, 0, 0, lagos) }
	a.BeginEjection(at(10, 0), "booking", "b1")
	a.BeginEjection(at(10, 5), "booking", "b1") // already ejected
	b.BeginEjection(at(10, 8), "booking", "b1") // second owner
	a.EndEjection(at(10, 10), "booking", "b1")
	b.EndEjection(at(10, 12), "booking", "b1")
	b.BeginEjection(at(11, 0), "booking", "b1")
	b.EndEjection(at(11, 1), "booking", "b1")
	a.EndEjection(at(11, 1), "booking", "b1") // unknown
	a.BeginEjection(at(23, 50), "booking", "b2")
	r.now = at(24, 1)
	a.EndEjection(at(24, 10), "booking", "b2")
	r.now = at(24, 20)
	for _, h := range []host{a, b} {
		r.Expect(h.Flush(ctx, true)).To(Succeed())
	}
	first, second := r.read(day), r.read(day.Next())
	r.Expect(first.Ejections["booking"]).To(Equal(EjectionTotals{Count: 3, Servers: 2, OutOfService: 23 * time.Minute}))
	r.Expect(second.Ejections["booking"]).To(Equal(EjectionTotals{Count: 0, Servers: 1, OutOfService: 10 * time.Minute}))
	r.Expect(first.Rows).To(HaveLen(1), "a service with ejections and no requests")
}

// Guards against rows that the parts of a day lose or count twice, and against
// memory that grows with the number of workspaces.
func TestManyRows(t *testing.T) {
	r := newRig(t)
	const maxRows = 3 * rowsPerPart
	const total = maxRows + 100
	h := r.host("h1", "i1")
	h.Recorder.o.MaxRows = maxRows
	for i := range total {
		r.answer(h, RowKey{Service: "booking", Workspace: model.WorkspaceID(fmt.Sprint("w", i))}, 1)
	}
	r.Expect(h.Flush(ctx, false)).To(Succeed())
	written := r.platform.Calls().Puts
	r.answer(h, RowKey{Service: "booking", Workspace: "w100"}, 1)
	r.Expect(h.Flush(ctx, true)).To(Succeed())
	r.Expect(r.platform.Calls().Puts-written).To(BeEquivalentTo(2), "the changed part and part 0")
	daily := r.read(day)
	r.Expect(daily.Rows).To(HaveLen(maxRows + 1))
	r.Expect(daily.Rows[0].Workspace).To(Equal(OtherWorkspace))
	r.Expect(daily.Rows[0].Requests).To(Equal(uint64(100)))
	r.Expect(requestsIn(daily)).To(Equal(uint64(total + 1)))
	r.Expect(daily.Missing).To(BeEmpty())
}

// Guards against a first part that says that the others cover more than was
// written of them.
func TestCoverageWaitsForAllParts(t *testing.T) {
	r := newRig(t)
	store := &faultyStore{objects: map[string]objectapi.Object{}}
	rec := NewRecorder(RecorderOptions{Host: "h1", Incarnation: "i1", Zone: lagos, Started: noon})
	f := NewFlusher(FlusherOptions{Recorder: rec, Store: store, WritesPerSecond: 1e9, Now: r.clock})
	count := func() {
		for i := range rowsPerPart + 1 {
			rec.Record(r.now, Sample{RowKey: RowKey{Service: "booking", Workspace: model.WorkspaceID(fmt.Sprint("w", i))}})
		}
	}
	count()
	r.Expect(f.Flush(ctx, false)).To(Succeed())
	r.now = noon.Add(time.Minute)
	count()
	store.faults = []fault{faultLostRequest, faultLostRequest, faultLostRequest}
	r.Expect(f.Flush(ctx, false)).NotTo(Succeed())
	covered := func() time.Time {
		p, err := decodePart(partKey(day, "h1", "i1", 0), store.objects[partKey(day, "h1", "i1", 0)].Value)
		r.Expect(err).NotTo(HaveOccurred())
		return p.CoveredUntil
	}
	r.Expect(covered()).To(BeTemporally("==", noon))
	r.Expect(f.Flush(ctx, false)).To(Succeed())
	r.Expect(covered()).To(BeTemporally("==", r.now))
}

// Guards against counts that arrive during a write and are taken for written,
// and against a dropped day whose objects are replaced by empty ones.
func TestChangesDuringAFlush(t *testing.T) {
	r := newRig(t)
	store := &faultyStore{objects: map[string]objectapi.Object{}}
	rec := NewRecorder(RecorderOptions{Host: "h1", Incarnation: "i1", Zone: lagos, Started: noon})
	f := NewFlusher(FlusherOptions{Recorder: rec, Store: store, WritesPerSecond: 1e9, Now: r.clock})
	count := func(at time.Time) {
		for i := range rowsPerPart + 1 {
			rec.Record(at, Sample{RowKey: RowKey{Service: "booking", Workspace: model.WorkspaceID(fmt.Sprint("w", i))}})
		}
	}
	total := func() uint64 {
		daily, err := NewReader(ReaderOptions{Store: store, Zone: lagos, Now: r.clock}).Day(ctx, day)
		r.Expect(err).NotTo(HaveOccurred())
		return requestsIn(daily)
	}
	count(noon)
	store.onPut = func() { count(noon) }
	r.Expect(f.Flush(ctx, false)).To(Succeed())
	r.Expect(f.Flush(ctx, false)).To(Succeed())
	r.Expect(total()).To(Equal(uint64(2 * (rowsPerPart + 1))))

	r.now = noon.Add(time.Hour)
	rec.Record(noon.AddDate(0, 0, -1), Sample{RowKey: bookA})
	store.onPut = func() {
		for days := range 3 {
			rec.Record(noon.AddDate(0, 0, days+1), Sample{RowKey: bookA})
		}
	}
	r.Expect(f.Flush(ctx, false)).To(MatchError(errDayDropped))
	r.Expect(rec.DroppedDays()).To(Equal(uint64(2)))
	r.Expect(total()).To(Equal(uint64(2 * (rowsPerPart + 1))))
}

// BenchmarkRecord measures what a request waits for its counting.
func BenchmarkRecord(b *testing.B) {
	rec := NewRecorder(RecorderOptions{Host: "h1", Incarnation: "i1", Zone: lagos, Started: noon})
	for i := 0; b.Loop(); i++ {
		rec.Record(noon, Sample{RowKey: bookA, Outcome: model.Answered, Latency: time.Duration(i%1000) * time.Millisecond})
	}
}

// BenchmarkCopyPart measures how long a flush holds the lock for a full part.
func BenchmarkCopyPart(b *testing.B) {
	rec := NewRecorder(RecorderOptions{Host: "h1", Incarnation: "i1", Zone: lagos, Started: noon})
	for i := range rowsPerPart * 1000 {
		k := RowKey{Service: "booking", Workspace: model.WorkspaceID(fmt.Sprint("w", i%rowsPerPart))}
		rec.Record(noon, Sample{RowKey: k, Outcome: model.Answered, Latency: time.Duration(i) * 17 * time.Microsecond})
	}
	for b.Loop() {
		rec.copyPart(day, 0, noon)
	}
}

// Guards against a stop that loses the counts since the last flush, and against
// a flusher that writes more often than its interval.
func TestDutyFlushesAtIntervalsAndOnStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		h := r.host("h1", "i1")
		ctx, cancel := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- kernel.RunTasks(ctx, h.Task()) }()
		time.Sleep(10*DefaultInterval + time.Second)
		synctest.Wait()
		writes := r.platform.Calls().Puts
		r.Expect(writes).To(And(BeNumerically(">=", 10), BeNumerically("<=", 11)))
		r.answer(h, bookA, 1)
		cancel()
		r.Expect(<-done).To(Succeed())
		r.Expect(r.requests(day)).To(Equal(uint64(1)))
		r.now = noon.AddDate(0, 0, 2)
		r.Expect(r.read(day).Missing).To(BeEmpty())
	})
}

// Guards against columns, orders, headings, signs or formats that differ from
// the layout by a single byte.
func TestLayoutIsWrittenExactly(t *testing.T) {
	r := newRig(t)
	h := r.host("h1", "i1")
	for i := range 1500 {
		h.Record(r.now, Sample{RowKey: bookA, Outcome: model.Answered, Latency: time.Duration(i%100+1) * time.Microsecond})
	}
	h.Record(r.now, Sample{RowKey: bookA, Outcome: model.NotRun, Reason: model.ReasonQueueFull})
	h.Record(r.now, Sample{RowKey: bookA, Outcome: model.NotRun, Reason: model.ReasonDeadline})
	h.Record(r.now, Sample{RowKey: RowKey{Service: "ledger", Workspace: `a;"b`}, Outcome: model.Unknown})
	h.AddRetries(r.now, ledger, 7)
	h.BeginEjection(r.now, "booking", "b1")
	h.EndEjection(r.now.Add(90500*time.Millisecond), "booking", "b1")
	r.Expect(h.Flush(ctx, true)).To(Succeed())

	for _, c := range []struct {
		layout snapshot.ReportLayout
		want   string
	}{
		{snapshot.ReportLayout{Name: "siam", Separator: ";", Decimal: ",", Columns: []snapshot.ReportColumn{
			{Heading: "Member; share", Field: "workspace"}, {Heading: "Dienst", Field: "service"},
			{Heading: "คำขอ", Field: "requests", Format: "#,##0"}, {Heading: "ok", Field: "answeredShare", Format: "0.00%"},
			{Heading: "p50", Field: "p50Ms", Format: "0.000"}, {Heading: "out", Field: "ejectedSeconds", Format: "000.00"},
		}},
			"\"Member; share\";Dienst;คำขอ;ok;p50;out\n" +
				"desk-a;booking;1.502;99,87%;0,050;090,50\n" +
				"\"a;\"\"b\";ledger;1;0,00%;;000,00\n" +
				"desk-a;ledger;0;;;000,00\n"},
		{snapshot.ReportLayout{Name: "ridemark", Columns: []snapshot.ReportColumn{
			{Heading: "day", Field: "day"}, {Heading: "ws", Field: "workspace"}, {Heading: "nr", Field: "notRun"},
			{Heading: "full", Field: "notRun.queue-full"}, {Heading: "unk", Field: "unknown"}, {Heading: "re", Field: "retries", Format: "0.00"},
			{Heading: "ej", Field: "ejections"}, {Heading: "s", Field: "ejectedSeconds"}, {Heading: "share", Field: "notRunShare"},
		}},
			"day,ws,nr,full,unk,re,ej,s,share\n" +
				"2026-12-04,desk-a,2,1,0,0.00,1,90.5,0.001332\n" +
				"2026-12-04,\"a;\"\"b\",0,0,1,0.00,0,0,0\n" +
				"2026-12-04,desk-a,0,0,0,7.00,0,0,\n"},
	} {
		layout, err := CompileLayout(c.layout)
		r.Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		r.Expect(layout.WriteCSV(&out, r.read(day))).To(Succeed())
		r.Expect(out.String()).To(Equal(c.want))
	}
}

// Guards against formats that write a digit too many or too few.
func TestNumberFormats(t *testing.T) {
	for _, c := range []struct{ format, decimal, value, want string }{
		{"", "", "1234.5", "1234.5"}, {"", ",", "1234.5", "1234,5"}, {"", "", "1/3", "0.333333"}, {"", "", "0", "0"},
		{"0", "", "2.5", "3"}, {"0", "", "2.4", "2"}, {"000", "", "7", "007"}, {"0.00", "", "7", "7.00"},
		{"0.0#", "", "1.25", "1.25"}, {"0.0#", "", "1.2", "1.2"}, {"#.##", "", "0.5", ".5"}, {"#", "", "0", "0"},
		{"#,##0", "", "999", "999"}, {"#,##0", "", "1000", "1,000"}, {"#,##0.00", ",", "1234567.891", "1.234.567,89"},
		{"0,000", "", "5", "0,005"}, {"0%", "", "0.125", "13%"}, {"0.0%", ",", "0.125", "12,5%"},
		{"0", "", "18446744073709551615", "18446744073709551615"},
	} {
		g := NewWithT(t)
		f, ok := parseFormat(c.format, c.decimal)
		g.Expect(ok).To(BeTrue(), c.format)
		value, ok := new(big.Rat).SetString(c.value)
		g.Expect(ok).To(BeTrue())
		g.Expect(f.format(number{value: value})).To(Equal(c.want), "%+v", c)
	}
	for _, wrong := range []string{"0,0", ",000", "0.0.0", "0#", "%", "0%0", "x", "0.#0", "#,,000", ".", "0.", ","} {
		_, ok := parseFormat(wrong, "")
		NewWithT(t).Expect(ok).To(BeFalse(), wrong)
	}
}

// Guards against percentiles that are off by more than the documented error
// after flushing and merging.
func TestLatencyPercentiles(t *testing.T) {
	r := newRig(t)
	for i, h := range []host{r.host("h1", "a"), r.host("h2", "b")} {
		for ms := 1; ms <= 500; ms++ {
			h.Record(r.now, Sample{RowKey: bookA, Outcome: model.Answered, Latency: time.Duration(2*ms-i) * time.Millisecond})
		}
		r.Expect(h.Flush(ctx, true)).To(Succeed())
	}
	row := r.read(day).Rows[0]
	r.Expect(row.Answered).To(Equal(uint64(1000)))
	for p, want := range map[float64]float64{50: 500e3, 99: 990e3, 99.9: 999e3} {
		r.Expect(float64(row.Latency.ValueAtPercentile(p))).To(BeNumerically("~", want, want*0.01))
	}
}

// Guards against layouts that are accepted and cannot be written.
func TestCompileLayoutRefuses(t *testing.T) {
	for want, l := range map[string]snapshot.ReportLayout{
		`report layout l: column 1: field: got "reqests", expected a report field, such as requests or p99Ms`:     {Columns: []snapshot.ReportColumn{{Field: "reqests"}}},
		`report layout l: column 1: field: got "p9Ms", expected a report field, such as requests or p99Ms`:        {Columns: []snapshot.ReportColumn{{Field: "p9Ms"}}},
		`report layout l: column 2: format: got "0.0.0", expected a number format, such as "0.00" or "#,##0"`:     {Columns: []snapshot.ReportColumn{{Field: "day"}, {Field: "requests", Format: "0.0.0"}}},
		`report layout l: column 1: format: got "0,0", expected a number format, such as "0.00" or "#,##0"`:       {Columns: []snapshot.ReportColumn{{Field: "requests", Format: "0,0"}}},
		`report layout l: column 1: format: got "0", expected no format for a text field`:                         {Columns: []snapshot.ReportColumn{{Field: "day", Format: "0"}}},
		`report layout l: column 0: separator: got ";;", expected one character other than a quote or a line end`: {Separator: ";;"},
	} {
		l.Name = "l"
		_, err := CompileLayout(l)
		NewWithT(t).Expect(err).To(MatchError(want))
	}
}
