package edge_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/edge"
	"github.com/agateusher/agateusher/settings"
	"github.com/agateusher/agateusher/standin/consortium"
)

// configureKeys writes a configuration with a table of workspaces and, in addition to the
// usual routes, the public route /public/.
func (s *site) configureKeys(tenants string) {
	s.version += 3
	s.store.Put("config", "main", fmt.Sprintf(`{"version":%[2]d,"tenants":`+tenants+`,"routes":{`+routes+
		`,"r-public":{"host":"api.example","path_prefix":"/public/","route_type":"idempotent","timeout_ms":%[1]d,"target_latency_ms":500,"priority":2,"service":"registry","max_attempts":2,"public":true}`+
		`},"limits":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_ms":500,"idle_timeout_ms":9000}}`, 3000, s.version), "")
}

// oneWorkspace is a table with one workspace, which has keys.
func oneWorkspace(keys ...string) string {
	return `{"acme":{"api_keys":["` + strings.Join(keys, `","`) + `"],"priority":0}}`
}

func keySettings(s *site, id string, r edge.RevocationSettings) edge.Settings {
	set := s.settings(id)
	set.Workspaces.Revocation = r
	return set
}

// revocation is the usual limit of a deployment with workspaces.
var revocation = edge.RevocationSettings{Within: settings.Duration(5 * time.Second)}

func get(path, id, headers string) string { return request("GET", path, id, "", headers) }

func bearer(key string) string { return "Authorization: Bearer " + key + "\r\n" }

// Guards against a request without a valid key that reaches a server, against one with a
// valid key that is refused, and against a key or a forged name that reaches a server.
func TestKeys(t *testing.T) {
	s := newSite(t)
	s.configureKeys(`{"acme":{"api_keys":["key-a1","key-a2","key-both"]},"globex":{"api_keys":["key-b","key-both"],"rate_per_s":100},
		"later":{"api_keys":["key-later"],"priority":"high"}}`)
	server := s.server("i-1", service)
	d := s.ready(s.daemon(keySettings(s, "h1", revocation)))
	for i, c := range []struct {
		path, headers string
		status        int
		workspace     string
		passed        []string // the Authorization headers that the server gets
	}{
		{"/read/", bearer("key-a1"), 200, "acme", nil},
		{"/read/", "authorization: bEARER   key-a2 \r\n", 200, "acme", nil},
		{"/write/", bearer("key-b") + "Agateusher-Tenant-Id: acme\r\n", 200, "globex", nil},
		{"/read/", bearer("key-b") + "Connection: Agateusher-Tenant-Id, Authorization\r\n", 200, "globex", nil},
		{"/read/", "", 401, "", nil},
		{"/read/", "Agateusher-Tenant-Id: acme\r\n", 401, "", nil},
		{"/read/", bearer("key-x"), 401, "", nil},
		{"/read/", bearer(""), 401, "", nil},
		{"/read/", bearer("key-a1 x"), 401, "", nil},
		{"/read/", bearer("key-a1,"), 401, "", nil},
		{"/read/", "Authorization: Basic key-a1\r\n", 401, "", nil},
		{"/read/", "Authorization: key-a1\r\n", 401, "", nil},
		{"/read/", bearer("key-a1") + bearer("key-a1"), 401, "", nil},
		{"/read/", bearer("key-both"), 401, "", nil},
		{"/read/", bearer("key-later"), 503, "", nil},
		{"/nowhere/", "", 404, "", nil},
		{"/public/", "", 200, "", nil},
		{"/public/", "Agateusher-Tenant-Id: acme\r\n", 200, "", nil},
		{"/public/", bearer("key-a1"), 200, "acme", nil},
		{"/public/", bearer("other"), 200, "", []string{"Bearer other"}},
		{"/public/", "Authorization: Basic eDp5\r\n", 200, "", []string{"Basic eDp5"}},
		{"/public/", "Authorization: Basic eDp5\r\n" + bearer("key-a1"), 200, "", []string{"Basic eDp5"}},
		{"/public/", bearer("key-a1, Basic eDp5"), 200, "", nil},
		{"/public/", bearer("key-both"), 200, "", nil},
		{"/public/", bearer("key-later"), 200, "", nil},
	} {
		id := fmt.Sprint("k", i)
		method := "GET"
		if c.path == "/write/" {
			method = "POST"
		}
		before := len(server.Requests())
		a := s.do(d, request(method, c.path+"x", id, "", c.headers))
		s.g.Expect(a.status).To(Equal(c.status), c.path+c.headers)
		received := server.Requests()[before:]
		if c.status != http.StatusOK {
			s.g.Expect(received).To(BeEmpty(), c.headers)
			s.g.Expect(a.header.Get("WWW-Authenticate") != "").To(Equal(c.status == 401), c.headers)
			s.g.Expect(a.header.Get("Retry-After") != "").To(Equal(c.status == 503), c.headers)
			continue
		}
		s.g.Expect(received).To(HaveLen(1), c.headers)
		s.g.Expect(received[0].Header.Get("Agateusher-Tenant-Id")).To(Equal(c.workspace), c.headers)
		s.g.Expect(received[0].Header["Authorization"]).To(Equal(c.passed), c.headers)
	}
	s.g.Eventually(d.log.String).Should(And(ContainSubstring("event=workspace_unreadable"), ContainSubstring("event=key_shared"), ContainSubstring("workspace=globex")))
	s.g.Expect(s.metrics(d)).To(And(ContainSubstring(`usher_edge_workspace_requests{result="admitted",workspace="globex"} 2`),
		ContainSubstring(`usher_edge_workspace_requests{result="refused",workspace="other"} 0`)))
}

// admin returns what a daemon serves to operators and other daemons at a path.
func (s *site) admin(d *daemon, path string) string {
	resp, err := http.Get("http://" + d.settings.Listeners.Admin + path)
	s.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	s.g.Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// Guards against deployments without workspaces that are served differently than before.
func TestWithoutWorkspaces(t *testing.T) {
	for name, tenants := range map[string]string{"no table": `null`, "empty table": `{}`} {
		s := newSite(t)
		s.configureKeys(tenants)
		server := s.server("i-1", service)
		d := s.ready(s.daemon(s.settings("h1")))
		s.g.Expect(s.do(d, get("/read/x", "r1", bearer("any")+bearer("thing"))).status).To(Equal(http.StatusOK), name)
		s.g.Expect(server.Requests()[0].Header["Authorization"]).To(Equal([]string{"Bearer any", "Bearer thing"}), name)
	}
	// Where the settings say that there are workspaces, an empty table has revoked all keys.
	s := newSite(t)
	s.configureKeys(`{}`)
	s.server("i-1", otherService) // the refusal must not depend on servers
	d := s.ready(s.daemon(keySettings(s, "h1", revocation)))
	s.g.Expect(s.do(d, get("/read/x", "r1", bearer("any"))).status).To(Equal(http.StatusUnauthorized))
}

// Guards against a key in any output of a daemon, however the caller sends it.
func TestKeysAreNotShown(t *testing.T) {
	s := newSite(t)
	const key = "key-0123456789abcdef"
	s.configureKeys(`{"acme":{"api_keys":["` + key + `"]},"b":{"api_keys":["` + key + `x",["` + key + `"]]},"` + "c" + `":"` + key + `"}`)
	server := s.server("i-1", service)
	set := keySettings(s, "h1", revocation)
	set.Log.Level = "debug"
	d := s.ready(s.daemon(set))
	peer := s.ready(s.daemon(keySettings(s, "h2", revocation)))
	var output strings.Builder
	for i, text := range []string{
		get("/read/x", "n1", bearer(key)),
		get("/read/x", "n2", bearer(key)+bearer(key)),
		get("/read/x", "n3", "Authorization: Digest "+key+"\r\n"),
		get("/public/x", "n4", "Authorization: Token token=\""+key+"\"\r\n"),
		get("/public/x", "n5", "Connection: Authorization\r\n"+bearer(key)),
		get("/nowhere/x?key="+key, "n6", bearer(key)),
		get("/read/x", "n7", "Authorization Bearer "+key+"\r\n"),
		get("/read/x", "n8", "Authorization : Bearer "+key+"\r\n"),
		get("/read/x", "n9", bearer(key)+"Content-Length: "+key+"\r\n"),
		get("/read/x", "n10", bearer(key)+"Transfer-Encoding: "+key+"\r\n"),
		"Authorization: Bearer " + key + "\r\n\r\n",
		key + " / HTTP/1.1\r\n\r\n",
		"GET / " + key + "\r\n\r\n",
		"GET " + key + " HTTP/1.1\r\n\r\n",
	} {
		a := s.do(d, text)
		fmt.Fprintln(&output, i, a.status, a.header, a.body)
	}
	for _, path := range []string{"/metrics", "/catalog", "/hosts", "/" + "nothing"} {
		output.WriteString(s.admin(d, path) + s.admin(peer, path))
	}
	for _, r := range server.Requests() {
		fmt.Fprintln(&output, r.Header)
	}
	d.stop()
	s.g.Eventually(d.exited).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	d.exited <- nil
	s.g.Expect(d.log.String()).To(ContainSubstring("event=request_unreadable"))
	s.g.Expect(output.String() + d.log.String() + peer.log.String()).NotTo(ContainSubstring(key))
}

// Guards against a revoked key that still works on a connection that was opened before,
// or for a request that waits, and against one that is passed on by a public route.
func TestRevocation(t *testing.T) {
	s := newSite(t)
	s.configureKeys(oneWorkspace("key-old", "key-kept"))
	server := s.server("i-1", service)
	d := s.ready(s.daemon(keySettings(s, "h1", revocation)))
	c := s.dial(d)
	c.send(get("/read/x", "r1", bearer("key-old")))
	s.g.Expect(c.receive().status).To(Equal(http.StatusOK))

	// The server that the request is sent to first refuses it after the revocation, so
	// that it would be sent again.
	var once sync.Once
	behaviour := func(r *consortium.ReceivedRequest) (b consortium.Behaviour) {
		if r.ID == "waits" {
			once.Do(func() {
				s.configureKeys(oneWorkspace("key-kept"))
				time.Sleep(1500 * time.Millisecond) // until the revocation is in force
				b = consortium.Shed
			})
		}
		return b
	}
	server.SetBehaviour(behaviour)
	other := s.server("i-2", service)
	other.SetBehaviour(behaviour)
	s.g.Expect(s.do(d, get("/read/x", "waits", bearer("key-old"))).status).To(Equal(http.StatusUnauthorized))
	s.g.Expect(runCount("waits", server, other)).To(BeZero())

	c.send(get("/read/x", "r2", bearer("key-old")) + get("/read/x", "r3", bearer("key-kept")) + get("/public/x", "r4", bearer("key-old")))
	s.g.Expect(c.receive().status).To(Equal(http.StatusUnauthorized))
	s.g.Expect(c.receive().status).To(Equal(http.StatusOK))
	s.g.Expect(c.receive().status).To(Equal(http.StatusOK))
	for _, r := range append(server.Requests(), other.Requests()...) {
		if r.ID == "r4" {
			s.g.Expect(r.Header).NotTo(Or(HaveKey("Authorization"), HaveKey("Agateusher-Tenant-Id")))
		}
	}
}
