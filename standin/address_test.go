package standin

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an address that is returned twice, also when one block of ports
// is used up and the next one is reserved.
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
