package proof

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/standin/backend"
)

// answerFor returns the answer body of a stand-in server to an operation.
func answerFor(t *testing.T, client string, request model.RequestID) []byte {
	s := backend.New(backend.Options{ID: "s", ServiceTime: backend.Distribution{Kind: backend.Fixed, Mean: time.Microsecond}})
	r := httptest.NewRequest("POST", "/payments?bytes=10&cid="+client, nil)
	r.Header.Set(backend.HeaderRequestID, string(request))
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	var a backend.Answer
	NewWithT(t).Expect(json.Unmarshal(w.Body.Bytes(), &a)).To(Succeed())
	return w.Body.Bytes()
}

// Guards against a Check that misses a violation or reports one where there is
// none.
func TestCheckFindsEachKind(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	run := func(request model.RequestID, ms int) backend.Execution {
		return backend.Execution{ClientID: "op", RequestID: request, Started: at(ms), Finished: at(ms + 1)}
	}
	good := answerFor(t, "op", "r1")
	answered := Request{Sent: at(0), Ended: at(9), RequestID: "r1", Outcome: model.Answered, Status: 200, Body: good}
	notRun := func(request model.RequestID, from, to int) Request {
		return Request{Sent: at(from), Ended: at(to), RequestID: request, Outcome: model.NotRun, Status: 503}
	}
	unknown := Request{Sent: at(0), Ended: at(9), RequestID: "r1", Outcome: model.Unknown, Status: 504}
	with := func(s Request, change func(*Request)) Request { change(&s); return s }
	tests := []struct {
		name     string
		key      string
		requests []Request
		runs     []backend.Execution
		want     []Kind
	}{
		{"good", "k", []Request{answered, answered}, []backend.Execution{run("r1", 1)}, nil},
		{"not run, then run by a retry", "k", []Request{notRun("r0", -9, -5), answered}, []backend.Execution{run("r1", 1)}, nil},
		{"not run beside one that runs", "k", []Request{notRun("r0", 0, 1), answered}, []backend.Execution{run("r1", 3)}, nil},
		{"twice", "k", []Request{answered}, []backend.Execution{run("r1", 1), run("r1", 2)}, []Kind{ExecutedTwice}},
		{"not run, but ran", "k", []Request{notRun("r1", 0, 9)}, []backend.Execution{run("r1", 1)}, []Kind{NotRunThatRan}},
		{"not run after run", "k", []Request{answered, notRun("r2", 20, 21)}, []backend.Execution{run("r1", 1)}, []Kind{NotRunAfterRun}},
		{"a request given up runs after not run", "k", []Request{unknown, notRun("r2", 20, 21)}, []backend.Execution{run("r1", 30)}, []Kind{RanAfterNotRun}},
		{"answer without run", "k", []Request{with(answered, func(s *Request) { s.Status = 500 })}, nil, []Kind{AnsweredWithoutRun}},
		{"two answers", "k", []Request{answered, with(answered, func(s *Request) { s.Status = 500 })}, []backend.Execution{run("r1", 1)}, []Kind{DifferentAnswers}},
		{"answer to another operation", "k", []Request{with(answered, func(s *Request) { s.Body = answerFor(t, "other", "r1") })}, []backend.Execution{run("r1", 1)}, []Kind{WrongAnswer}},
		{"answer to a request that did not run", "k", []Request{answered}, []backend.Execution{run("r9", 1)}, []Kind{WrongAnswer}},
		{"truncated answer", "k", []Request{with(answered, func(s *Request) { s.Body = good[:50] })}, []backend.Execution{run("r1", 1)}, []Kind{WrongAnswer}},
		{"no outcome", "k", []Request{{Sent: at(0), Ended: at(1), Status: 500}}, nil, []Kind{NoOutcome}},
		{"key refused", "k", []Request{with(unknown, func(s *Request) { s.Reason = model.ReasonKeyInvalid })}, nil, []Kind{GenuineKeyRefused}},
		{"mismatch without a change", "k", []Request{with(unknown, func(s *Request) { s.Reason = model.ReasonKeyMismatch })}, nil, []Kind{GenuineKeyRefused}},
		{"lookup", "", []Request{answered}, []backend.Execution{run("r1", 1)}, nil},
		{"lookup failed", "", []Request{unknown}, nil, []Kind{LookupUnanswered}},
		{"lookup refused at once", "", []Request{with(unknown, func(s *Request) { s.Reason = model.ReasonShed })}, nil, []Kind{LookupUnanswered}},
		{"lookup not retried", "", []Request{with(unknown, func(s *Request) { s.Reason, s.Ended = model.ReasonShed, at(980) })}, nil, []Kind{LookupNotRetried}},
		{"lookup that got no answer in time", "", []Request{with(unknown, func(s *Request) { s.Reason, s.Ended = model.ReasonTimeout, at(1001) })}, nil, []Kind{LookupUnanswered}},
		{"lookup given up by its owner", "", []Request{with(unknown, func(s *Request) { s.Reason, s.Ended = model.ReasonTimeout, at(980) })}, nil, []Kind{LookupNotRetried}},
		{"lookup late", "", []Request{with(answered, func(s *Request) { s.Ended = at(2000) })}, nil, []Kind{LookupUnanswered}},
		{"lookup with a broken connection", "", []Request{with(answered, func(s *Request) { s.Err = errors.ErrUnsupported })}, nil, []Kind{LookupUnanswered}},
		{"lookup with another's request ID", "", []Request{with(answered, func(s *Request) { s.RequestID = "r2" })}, nil, []Kind{WrongAnswer}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			o := &Operation{ID: "op", Key: tt.key, Bytes: 10, Deadline: time.Second, Requests: tt.requests}
			var got []Kind
			for _, v := range Check([]*Operation{o}, tt.runs) {
				got = append(got, v.Kind)
			}
			g.Expect(got).To(Equal(tt.want))
		})
	}
	g := NewWithT(t)
	two := []*Operation{{ID: "a", Key: "k"}, {ID: "b", Key: "k"}}
	g.Expect(Check(two, nil)).To(HaveLen(1))
}
