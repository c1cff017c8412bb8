package claim_test

import (
	"flag"
	"os"
	"testing"
)

// checks is the number of random histories that each property is tried on.
const checks = "2000"

func TestMain(m *testing.M) {
	flag.Parse()
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == "rapid.checks" })
	if !isSet {
		_ = flag.Set("rapid.checks", checks)
	}
	os.Exit(m.Run())
}
