package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/agateusher/agateusher/standin/consortium"
)

const (
	// keyLifetime is how long a key is current. A host that is a change behind still
	// accepts the next key.
	keyLifetime = 4500 * time.Millisecond
	// revokeBound is the time in which a revoked key must stop working.
	revokeBound = 5 * time.Second
	// floodStart and floodDuration are when one workspace sends many requests.
	floodStart, floodDuration = 2 * time.Second, 2 * time.Second
	// usageWindow is the window in which the requests of a workspace that ran are
	// counted.
	usageWindow = 5 * time.Second
)

// workspaces are the names of the workspaces. The second one floods.
var workspaces = [...]string{"acme", "globex"}

// keyring holds the keys of the workspaces. A configuration has the current key and the
// next one of each.
type keyring struct {
	mu sync.Mutex
	// revokedAt has the times of the changes; its length is the number of the current
	// keys.
	revokedAt []time.Time
	sent      map[string]sentKey // by request ID
}

// sentKey is what a request was sent with.
type sentKey struct {
	workspace string // empty: no key
	number    int
	at        time.Time
}

func keyName(workspace string, number int) string {
	return fmt.Sprintf("soak-key-%s-%d-", workspace, number)
}

// tenants returns the table of workspaces of the configuration.
func (k *keyring) tenants() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var entries []string
	for _, name := range workspaces {
		n := len(k.revokedAt)
		entries = append(entries, fmt.Sprintf(`%q:{"api_keys":[%q,%q],"priority":1}`, name, keyName(name, n), keyName(name, n+1)))
	}
	return "{" + strings.Join(entries, ",") + "}"
}

// rotate revokes the current keys if they have been in use for keyLifetime.
func (w *deployment) rotateKeys(since time.Time) {
	k := &w.keys
	k.mu.Lock()
	if n := len(k.revokedAt); n > 0 {
		since = k.revokedAt[n-1]
	}
	due := time.Since(since) >= keyLifetime
	if due {
		// A caller that reads the number now takes the next key, which hosts have.
		k.revokedAt = append(k.revokedAt, time.Now())
	}
	k.mu.Unlock()
	if !due {
		return
	}
	w.epoch++ // without a random number, so that a seed plays the same faults
	w.putConfig()
	k.mu.Lock()
	k.revokedAt[len(k.revokedAt)-1] = time.Now() // the store has acknowledged it
	k.mu.Unlock()
}

// choose returns the header with which a request is sent: usually the current key of a
// workspace, sometimes a revoked one or none.
func (k *keyring) choose(random *rand.Rand, id string) (header string, accepted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := sentKey{workspace: workspaces[random.IntN(len(workspaces))], number: len(k.revokedAt), at: time.Now()}
	switch random.IntN(10) {
	case 0:
		s.workspace = ""
	case 1:
		s.number--
	}
	return k.send(id, s), s.workspace != "" && s.number == len(k.revokedAt)
}

// send records what a request is sent with. k.mu must be held.
func (k *keyring) send(id string, s sentKey) string {
	k.sent[id] = s
	if s.workspace == "" || s.number < 0 {
		k.sent[id] = sentKey{at: s.at}
		return ""
	}
	return "Authorization: Bearer " + keyName(s.workspace, s.number) + "\r\n"
}

// flood sends many requests of one workspace.
func (c *checker) flood(random *rand.Rand) {
	time.Sleep(floodStart)
	var wg sync.WaitGroup
	for i := 0; i < int(floodDuration/(5*time.Millisecond)); i++ {
		id, k := fmt.Sprint("flood-", i), &c.deployment.keys
		k.mu.Lock()
		header := k.send(id, sentKey{workspace: workspaces[1], number: len(k.revokedAt), at: time.Now()})
		k.mu.Unlock()
		p := c.deployment.daemons[random.IntN(len(c.deployment.daemons))]
		wg.Go(func() { c.sendRequest(p, http.MethodGet, "/read/x", id, header) })
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
}

// checkStatus checks the response to a request against the key that it was sent with.
func (k *keyring) checkStatus(t *testing.T, id string, status int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.sent[id]
	switch {
	case s.workspace == "" && status != http.StatusUnauthorized && status != http.StatusServiceUnavailable:
		t.Errorf("request %s without a key received status %d", id, status)
	case s.workspace != "" && s.number == len(k.revokedAt) && status == http.StatusUnauthorized:
		t.Errorf("request %s with the current key received status 401", id)
	case s.number < len(k.revokedAt) && s.at.After(k.revokedAt[max(0, s.number)].Add(revokeBound)) && status != http.StatusUnauthorized && status != http.StatusServiceUnavailable:
		t.Errorf("request %s with key %d of %q, revoked %s before, received status %d", id, s.number, s.workspace, s.at.Sub(k.revokedAt[max(0, s.number)]), status)
	}
}

// checkReceived checks a request that a server received.
func (k *keyring) checkReceived(t *testing.T, r consortium.ReceivedRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, known := k.sent[r.ID]
	if !known {
		return // reported by the caller of this function
	}
	if name := r.Header.Get("Agateusher-Tenant-Id"); name != s.workspace || s.workspace == "" {
		t.Errorf("request %s of workspace %q reached a server as one of %q", r.ID, s.workspace, name)
	}
	if len(r.Header["Authorization"]) > 0 {
		t.Errorf("request %s reached a server with a key", r.ID)
	}
	if s.number < len(k.revokedAt) && r.At.After(k.revokedAt[s.number].Add(revokeBound)) {
		t.Errorf("request %s reached a server %s after its key was revoked", r.ID, r.At.Sub(k.revokedAt[s.number]))
	}
}

// finishKeys checks that no key is in a log, and logs how many requests of the workspace
// that floods ran within usageWindow.
func (w *deployment) finishKeys() {
	for _, p := range w.daemons {
		text, err := os.ReadFile(p.log.Name())
		w.must(err)
		if bytes.Contains(text, []byte("soak-key-")) {
			w.t.Errorf("the log of %s has a key", p.settings.Host.ID)
		}
	}
	var ran []time.Time
	for _, b := range w.servers {
		for _, r := range b.Requests() {
			if r.Ran && r.Header.Get("Agateusher-Tenant-Id") == workspaces[1] {
				ran = append(ran, r.At)
			}
		}
	}
	most := 0
	for _, from := range ran {
		n := 0
		for _, at := range ran {
			if !at.Before(from) && at.Sub(from) < usageWindow {
				n++
			}
		}
		most = max(most, n)
	}
	// The check of a quota compares this number with the limit.
	w.t.Logf("workspace %s: at most %d requests ran within %s", workspaces[1], most, usageWindow)
}
