package report

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaultSeed makes the property tests reproducible. The flag -rapid.seed sets another.
const defaultSeed = "20261"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(defaultSeed); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
