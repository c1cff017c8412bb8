package crowd_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
	"github.com/bramleyhatch/bramleyhatch/platform/wiretest"
)

const (
	// smallestMemory is the memory of the smallest host of a gateway.
	smallestMemory = 144 << 20
	// largestBody is the largest body that the configurations of the deployments allow.
	largestBody = 32 << 20
)

// Guards against limits that a single request inside the configured limits meets in calm.
func TestLargestBodyInCalm(t *testing.T) {
	for name, length := range map[string]int64{"with a length": largestBody, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			platform := wiretest.NewPlatform()
			platform.SetMaxBodyBytes(largestBody)
			g := newGatewayOn(t, host{memory: smallestMemory, descriptors: hostDescriptors}, platform)
			watcher := listentest.Watch(t, g.pid(), g.frontAddress)
			must.Eq(t, http.StatusOK, sendLarge(t, g, length))
			usage := watcher.Stop()
			t.Logf("%d MB", usage.Memory>>20)
			must.True(t, g.lives())
			must.LessEq(t, int64(smallestMemory), usage.Memory)
		})
	}
}

// sendLarge sends the largest body and returns the status. Its answer is as long as the body.
func sendLarge(t *testing.T, g *gateway, length int64) int {
	t.Helper()
	body := io.LimitReader(strings.NewReader(strings.Repeat("x", largestBody)), largestBody)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+g.frontAddress+"/look/x", body)
	must.NoError(t, err)
	r.Host, r.ContentLength = "h.example", length
	r.Header.Set("Attempt-Id", fmt.Sprintf("large%d", length))
	r.Header.Set("Authorization", "Bearer key-acme")
	response, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	received, err := io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	must.Eq(t, largestBody+int64(len("answer to ")), received)
	return response.StatusCode
}

// Guards against a head of the largest size that is refused.
func TestLargestHeadInCalm(t *testing.T) {
	const maxHeaderBytes = 16384
	g := newGateway(t, hostDescriptors)
	line := strings.Repeat("a", maxHeaderBytes-300)
	status, _ := request(http.MethodPost, g.frontAddress+"/look/x", "", "Attempt-Id", "r1", "Authorization", "Bearer key-acme", "X-Long", line)
	must.Eq(t, http.StatusOK, status)
}
