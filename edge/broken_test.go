package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/standin/consortium"
)

// checkBroken lets two servers send a broken response, in which ID stands for the
// identifier of the request, and checks that no caller gets it or what follows it.
func checkBroken(t *testing.T, text string) {
	s := newSite(t)
	s.configure(2*time.Second, "")
	broken := []*consortium.Server{s.server("i-1", service), s.server("i-2", service)}
	for _, server := range broken {
		server.SetCustom(text)
		server.SetBehaviour(always(consortium.Custom))
	}
	d := s.ready(s.daemon(s.settings("h1")))
	for i := range 4 {
		id := fmt.Sprint("w-", i)
		resp := s.write(d, id)
		s.g.Expect(resp.status).To(Equal(http.StatusBadGateway), "%q", resp.body)
		s.g.Expect(resp.header).NotTo(HaveKey("Agateusher-Response-Signature"))
		s.g.Expect(runCount(id, broken...)).To(Equal(1), "a request that must not repeat")
		s.g.Expect(s.read(d, fmt.Sprint("r-", i)).status).To(Equal(http.StatusBadGateway))
	}
	for _, server := range broken {
		server.SetBehaviour(always(consortium.Answer))
	}
	for i := range 8 {
		id := fmt.Sprint("sound-", i)
		s.g.Eventually(func() int { return s.read(d, id).status }).WithTimeout(5 * time.Second).Should(Equal(http.StatusOK))
		s.g.Expect(s.read(d, id).body).To(Equal(consortium.Body(id)))
	}
}

// Guards against a status that is none, or not that of a final response, and reaches the
// caller.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "+20", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			checkBroken(t, "HTTP/1.1 "+status+" Status\r\nAgateusher-Request-Id: ID\r\nAgateusher-Response-Signature: x\r\nContent-Length: 4\r\n\r\nbody")
		})
	}
}

// Guards against a field name with a blank or a control byte: its line, or a body that has
// another end than its server meant, reaches the caller.
func TestInvalidFieldNames(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAgateusher-Request-Id: ID\r\nAgateusher-Response-Signature: x\r\n"
	for name, lines := range map[string]string{
		"length":       "Content-Length : 4\r\n",
		"coding":       "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n",
		"blank":        "Odd Name: x\r\nContent-Length: 4\r\n",
		"folded":       " Odd-Name: x\r\nContent-Length: 4\r\n",
		"tab":          "Odd\tName: x\r\nContent-Length: 4\r\n",
		"control byte": "Odd\x01Name: x\r\nContent-Length: 4\r\n",
		"zero byte":    "Odd-Name\x00: x\r\nContent-Length: 4\r\n",
		"refusal":      "Agateusher-Not-Executed : 1\r\nContent-Length: 4\r\n",
		"no execution": "Agateusher-Not-Executed: 1\r\nOdd Name: x\r\nContent-Length: 4\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkBroken(t, head+lines+"\r\nbody") })
	}
}
