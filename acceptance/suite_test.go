package acceptance

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/demo"
	"github.com/agateusher/agateusher/telemetry"
)

func TestAcceptance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operators' page")
}

// suite holds the fleet that all specs share. environment holds the variables of
// the fleet's environment file, which demo writes.
var suite struct {
	binaries    string
	environment map[string]string
	stop        context.CancelFunc
	done        chan error
}

var _ = BeforeSuite(func() {
	suite.binaries = GinkgoT().TempDir()
	build := exec.Command("go", "build", "-o", suite.binaries, "../cmd/...")
	build.Stdout, build.Stderr = GinkgoWriter, GinkgoWriter
	Expect(build.Run()).To(Succeed())

	log, err := telemetry.NewLogger(GinkgoWriter, "error")
	Expect(err).NotTo(HaveOccurred())
	reader, writer := io.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	suite.stop, suite.done = cancel, make(chan error, 1)
	go func() {
		_, err := demo.Run(ctx, demo.Options{Binaries: suite.binaries, Seed: 1, HoldOutput: writer, Log: log})
		_ = writer.CloseWithError(err)
		suite.done <- err
	}()
	message := make([]byte, 4096)
	n, err := reader.Read(message)
	Expect(err).NotTo(HaveOccurred())
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	suite.environment = readEnvironment(regexp.MustCompile(`\S+/` + demo.EnvironmentFile).FindString(string(message[:n])))
})

var _ = AfterSuite(func() {
	if suite.stop == nil {
		return
	}
	suite.stop()
	Eventually(suite.done).WithTimeout(30 * time.Second).Should(Receive(BeNil()))
})

// readEnvironment reads the assignments of a file of "export NAME=value" lines.
func readEnvironment(path string) map[string]string {
	text, err := os.ReadFile(filepath.Clean(path))
	Expect(err).NotTo(HaveOccurred())
	values := map[string]string{}
	for _, m := range regexp.MustCompile(`(\w+)="?([^"\s]+)"?`).FindAllStringSubmatch(string(text), -1) {
		values[m[1]] = m[2]
	}
	return values
}
