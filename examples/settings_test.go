package examples_test

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/agateusher/agateusher/daemon"
	"github.com/agateusher/agateusher/operator/apiserver"
	"github.com/agateusher/agateusher/settings"
)

// Guards against example settings that the programs no longer accept.
func TestExampleSettingsAreValid(t *testing.T) {
	for _, user := range []string{"ridemark", "consortium"} {
		t.Run(user, func(t *testing.T) {
			g := NewWithT(t)
			_, err := daemon.LoadSettings(filepath.Join(user, "usherd.jsonc"))
			g.Expect(err).NotTo(HaveOccurred())
			api := apiserver.Default()
			g.Expect(settings.Load(filepath.Join(user, "usher-api.jsonc"), &api)).To(Succeed())
		})
	}
}
