package claim_test

import (
	"flag"
	"os"
	"testing"
)

// Settings of the property tests. With one seed the suite has the same verdict
// every time; other histories are tried with -rapid.seed=0 -rapid.checks=300000.
var settings = map[string]string{
	"rapid.checks":     "2000",
	"rapid.seed":       "1",
	"rapid.nofailfile": "true",
}

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range settings {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
