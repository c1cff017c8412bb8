package gateway

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// refusalCode matches the codes of refusals in Go source.
var refusalCode = regexp.MustCompile(`(?:NotRun|Unknown)\([^,\n]+, "([a-z_]+)"|[cC]ode[A-Z]\w*\s+= "([a-z_]+)"`)

// Guards against refusal codes in gateway logs that the error reference does not
// explain.
func TestErrorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/reference/errors.md")
	must.NoError(t, err)
	// These codes end a run of an item or of its scorer and are not sent to callers.
	notForCallers := map[string]bool{"unfit": true, "not_judged": true}
	found := 0
	for _, pattern := range []string{"*.go", "../batch/*.go", "../forward/*.go", "../backend/direct*.go", "../listen/refuse.go"} {
		files, err := filepath.Glob(pattern)
		must.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			must.NoError(t, err)
			for _, match := range refusalCode.FindAllStringSubmatch(string(text), -1) {
				code := match[1] + match[2]
				if notForCallers[code] {
					continue
				}
				found++
				must.StrContains(t, string(page), "`"+code+"`", must.Sprint(file))
			}
		}
	}
	must.Greater(t, 10, found)
}
