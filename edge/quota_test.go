package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/core/model"
	"github.com/agateusher/agateusher/edge"
	"github.com/agateusher/agateusher/settings"
)

// limits configures workspaces by name with their limits, in requests per second.
func (s *site) limits(perSecond map[string]float64) {
	s.version++
	var tenants []string
	for name, rate := range perSecond {
		tenants = append(tenants, fmt.Sprintf(`%q:{"api_keys":["key-%s"],"priority":1,"rate_per_s":%v,"burst":%v}`, name, name, rate, rate))
	}
	s.store.Put("config", "main", fmt.Sprintf(`{"version":%d,"routes":{`+routes+`},"tenants":{`+strings.Join(tenants, ",")+
		`},"services":{},"limits":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_ms":500,"idle_timeout_ms":3000}}`, 4000, s.version+3), "")
}

// quotaDaemons starts daemons in two data centres of one region.
func (s *site) quotaDaemons(n int) []*daemon {
	s.server("i-1", service)
	return s.quotaDaemonsFrom(0, n)
}

// quotaDaemonsFrom starts those with the numbers from first up to last.
func (s *site) quotaDaemonsFrom(first, last int) (list []*daemon) {
	for i := first; i < last; i++ {
		set := s.settings(fmt.Sprint("host-", i))
		set.Regions = map[model.DataCentre]model.Region{zone: "region", "zone-b": "region"}
		if i%2 == 1 {
			set.Host.DataCentre = "zone-b"
		}
		list = append(list, s.daemon(set))
	}
	for _, d := range list {
		s.ready(d)
	}
	return list
}

// Guards against a limit that real daemons exceed together or do not reach, and against
// requests below it that wait for more than a few ms.
func TestWorkspaceLimitHoldsForAllHosts(t *testing.T) {
	const perSecond = 40
	s := newSite(t)
	s.limits(map[string]float64{"w": perSecond, "free": 0})
	daemons := s.quotaDaemons(6)
	admit := func(w model.WorkspaceID, i int) (bool, string, time.Duration) {
		return daemons[i%len(daemons)].node.AdmitQuota(context.Background(), w, 4*time.Second)
	}
	ok, result, _ := admit("free", 0)
	s.g.Expect(ok).To(BeFalse(), "no admission is needed")
	s.g.Expect(result).To(BeEmpty())
	ok, result, _ = admit("w", 0) // Held until the daemons can vote.
	s.g.Expect(ok).To(BeTrue(), result)
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var took []time.Duration
	var ran []time.Time
	play := func(rate float64, d time.Duration) (asked int) {
		ran, took = nil, nil
		var wait sync.WaitGroup
		for until := time.Now().Add(d); time.Now().Before(until); asked++ {
			host := asked
			wait.Go(func() {
				began := time.Now()
				ok, _, _ := admit("w", host)
				mu.Lock()
				defer mu.Unlock()
				took = append(took, time.Since(began))
				if ok {
					ran = append(ran, time.Now())
				}
			})
			time.Sleep(time.Duration(float64(time.Second) / rate))
		}
		wait.Wait()
		return asked
	}
	asked := play(perSecond/1.6, 5*time.Second)
	slices.Sort(took)
	t.Logf("usual: asked %d, admitted %d, took p50 %v, p99 %v, most %v", asked, len(ran), took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
	s.g.Expect(len(ran)).To(BeNumerically(">=", asked*98/100))
	asked = play(8*perSecond/1.6, 8*time.Second)
	slices.SortFunc(ran, time.Time.Compare)
	most, first := 0, 0
	for i := range ran {
		for ran[i].Sub(ran[first]) >= 5*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	t.Logf("eightfold: asked %d, admitted %d, most in a window %d", asked, len(ran), most)
	s.g.Expect(float64(most)).To(BeNumerically("<=", (5*perSecond+perSecond)*1.1+20))
	s.g.Expect(len(ran)).To(BeNumerically(">=", 8*perSecond*9/10))
}

// Guards against a lost issuer whose data centre admits no requests below the limit.
func TestIssuerOfAdmissionsIsReplaced(t *testing.T) {
	s := newSite(t)
	s.limits(map[string]float64{"w": 100})
	daemons := s.quotaDaemons(6)
	for _, d := range daemons {
		ok, result, _ := d.node.AdmitQuota(context.Background(), "w", 5*time.Second)
		s.g.Expect(ok).To(BeTrue(), result)
	}
	time.Sleep(2 * time.Second)
	issuer := daemons[slices.IndexFunc(daemons, func(d *daemon) bool { return d.node.QuotaShare() > 0 })]
	issuer.stop()
	for range 40 {
		for _, d := range daemons {
			if d != issuer {
				ok, result, _ := d.node.AdmitQuota(context.Background(), "w", 5*time.Second)
				s.g.Expect(ok).To(BeTrue(), result)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a change of the rule that two hosts apply differently.
func TestQuotaRuleNeedsRestart(t *testing.T) {
	s := newSite(t)
	set := s.settings("host")
	d := s.daemon(set)
	set.Workspaces.Quota.Window = settings.Duration(time.Second)
	s.g.Expect(d.node.Reload(set)).To(Equal(&edge.RestartError{Key: "workspaces.quota"}))
}

// Guards against requests over the limit that reach a server or get another status than 429
// with a time, and against ones of a workspace without a limit, or below it, that are
// refused.
func TestRequestsOverTheLimitAreRefused(t *testing.T) {
	s := newSite(t)
	s.limits(map[string]float64{"w": 5, "free": 0})
	server := s.server("i-1", service)
	d := s.ready(s.daemon(keySettings(s, "h1", revocation)))
	s.g.Expect(s.do(d, get("/read/x", "first", bearer("key-w"))).status).To(Equal(http.StatusOK)) // Held until the daemon can vote.
	time.Sleep(2500 * time.Millisecond)
	refused, waits, began := 0, map[string]bool{}, time.Now()
	for i := range 60 {
		id := fmt.Sprint("w-", i)
		a := s.do(d, get("/read/x", id, bearer("key-w")))
		if a.status != http.StatusOK {
			refused++
			s.g.Expect(a.status).To(Equal(http.StatusTooManyRequests))
			s.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			s.g.Expect(runCount(id, server)).To(BeZero())
			waits[a.header.Get("Retry-After")] = true
		}
		s.g.Expect(s.do(d, get("/read/x", fmt.Sprint("free-", i), bearer("key-free"))).status).To(Equal(http.StatusOK))
	}
	room := 5 + 12 + 5*1.1*time.Since(began).Seconds() // burst, its part of the slack, and the rate
	s.g.Expect(refused).To(BeNumerically(">=", 60-1-int(room)))
	s.g.Expect(len(waits)).To(Equal(refused), "refused callers are told different times")
	s.g.Expect(d.log.String()).To(ContainSubstring("reason=rate-limited"))
}
