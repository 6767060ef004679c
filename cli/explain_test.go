package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const hostA = `time="2026-12-04T10:00:00.000000Z" level=info msg="daemon started" event=started host=a
time="2026-12-04T10:00:01.000000Z" level=info msg="configuration in force" epoch=5 event=config_applied from=store host=a
time="2026-12-04T10:00:02.000000Z" level=info msg="belief" event=server_suspected evidence=peer failing=0.8 from=b host=a server=i-1
time="2026-12-04T10:00:03.000000Z" level=info msg="belief" event=server_trusted evidence=usable failing=0.3 from=a host=a server=i-1
time="2026-12-04T10:00:03.200000Z" level=info msg="limit" event=server_limited from=b host=a per_second=2 server=i-2
time="2026-12-04T10:00:03.500000Z" level=info msg="belief" event=server_suspected evidence=peer failing=0.8 from=b host=a server=i-9
time="2026-12-04T10:00:04.000000Z" level=info msg="request answered" attempts="i-1:server-failure:500:3ms i-2:refused:503:2ms" event=request host=a id=r1 reason=shed status=502
`

const hostB = `10.0.0.2 time="2026-12-04T10:00:00.500000Z" level=warning msg="the store cannot be read" event=store_lost host=b
10.0.0.2 time="2026-12-04T10:00:05.000000Z" level=info msg="request answered" attempts="i-2:usable:200:9ms" event=request host=b id=r2 status=200
`

// Guards against an explanation that requires usher-api, shows events of other
// hosts, or omits events that affected the request.
func TestExplain(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	g.Expect(os.WriteFile(a, []byte(hostA), 0o600)).To(Succeed())
	g.Expect(os.WriteFile(b, []byte(hostB), 0o600)).To(Succeed())
	explained := func(stdin string, args ...string) (int, string) {
		var out, errs bytes.Buffer
		code := Run(context.Background(), append([]string{"explain"}, args...), Streams{
			In: strings.NewReader(stdin), Out: &out, Err: &errs, Getenv: func(string) string { return "" },
		})
		return code, out.String() + errs.String()
	}
	code, text := explained("", "r1", b, a)
	g.Expect(code).To(Equal(ExitOK), text)
	lines := strings.Split(strings.TrimSpace(text), "\n")
	g.Expect(lines).To(HaveLen(5))
	g.Expect(lines[0]).To(ContainSubstring("event=started"))
	g.Expect(lines[1]).To(ContainSubstring("epoch=5"))
	g.Expect(lines[2]).To(ContainSubstring("event=server_trusted"))
	g.Expect(lines[3]).To(ContainSubstring("event=server_limited"))
	g.Expect(lines[4]).To(ContainSubstring("id=r1"))
	code, text = explained(hostA+hostB, "r2")
	g.Expect(code).To(Equal(ExitOK))
	g.Expect(text).To(And(ContainSubstring("event=store_lost"), ContainSubstring("id=r2"), Not(ContainSubstring("host=a"))))
	code, text = explained(hostA, "r3")
	g.Expect(code).NotTo(Equal(ExitOK))
	g.Expect(text).To(ContainSubstring("no line about request r3"))
}
