package stricthttp

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a line that is judged by a part of it, because it arrives in several reads.
func TestScanInParts(t *testing.T) {
	for text, folded := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n\r\n":                          true,
		"HTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 200\r\nA: b\r\n\tc\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nA:  b \r\n\r\n c: d\r\n\r\n":                    false,
		"HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200\nA: b\n\n c\n":                  false,
	} {
		for first := range len(text) {
			for second := first; second < len(text); second++ {
				var s headScanner
				s.scan([]byte(text[:first]))
				s.scan([]byte(text[first:second]))
				s.scan([]byte(text[second:]))
				NewWithT(t).Expect(s.folded()).To(Equal(folded), "%q, %d, %d", text, first, second)
			}
		}
	}
}
