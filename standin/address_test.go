package standin

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an address that is handed out twice, also over the end of a
// block of ports.
func TestFreeAddressesDiffer(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for range blockSize + 10 {
		address, err := FreeAddress()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seen[address]).To(BeFalse(), address)
		seen[address] = true
	}
	g.Expect(len(reservations)).To(BeNumerically(">=", 2))
}
