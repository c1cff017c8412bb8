package scenario_test

import (
	"fmt"
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const accountsText = `
[account franchise]
plan = members
[account choir]
plan = members
[account editors]
plan = training
`

const plansText = `
[plan members]
models = assistant
services = ledger
[plan training]
models = assistant
trainers = drafter
[pool assistant]
kind = engine
zones = zone-a, zone-b
min = 2
max = 2
[pool ledger]
kind = plain
zones = zone-a, zone-b
min = 2
max = 2
`

// operatorToken authenticates the operator of deployments.
const operatorToken = "operator-token"

// deploy starts a small deployment and waits until it serves:
// deploy [KIND:VALUE...], where KIND is entry, sidecar, engine or ledger.
//
// It starts the stand-ins platform and weights; entries e1 (zone-a), e2 (zone-b); engines engine1,
// engine2 with sidecars s1 (zone-a), s2 (zone-b); plain services book1, book2 with sidecars s3
// (zone-a), s4 (zone-b). Relay rN proxies connections to sidecar sN; relay bN proxies connections
// from sidecar sN to its backend server. Keys: member-key, choir-key, trainer-key.
func deploy(ts *testscript.TestScript, _ bool, args []string) {
	extra := map[string][]string{}
	for _, arg := range args {
		kind, value, _ := strings.Cut(arg, ":")
		extra[kind] = append(extra[kind], value)
	}
	runStandin(ts, false, []string{"platform", "platform"})
	runStandin(ts, false, []string{"weights", "weights"})
	writeLists(ts)
	registerServers(ts)
	for i, zone := range []string{"zone-a", "zone-b"} {
		settings := append([]string{"operator.tokens=op:" + lists.HashKey(operatorToken)}, extra["entry"]...)
		runEntry(ts, false, append([]string{fmt.Sprintf("e%d", i+1), zone}, settings...))
	}
	ts.Setenv("BRAMLEYHATCH_ENTRY", ts.Getenv("e1"))
	ts.Setenv("BRAMLEYHATCH_TOKEN", operatorToken)
	for i, zone := range []string{"zone-a", "zone-b"} {
		engine := fmt.Sprintf("engine%d", i+1)
		flags := []string{engine, "engine", "--model", "assistant", "--weights", ts.Getenv("weights")}
		runStandin(ts, false, append(flags, extra["engine"]...))
		deploySidecar(ts, i+1, zone, "engine", "assistant", engine, extra["sidecar"])
	}
	for i, zone := range []string{"zone-a", "zone-b"} {
		book := fmt.Sprintf("book%d", i+1)
		runStandin(ts, false, append([]string{book, "ledger"}, extra["ledger"]...))
		deploySidecar(ts, i+3, zone, "plain", "ledger", book, extra["sidecar"])
	}
	awaitServing(ts)
}

func deploySidecar(ts *testscript.TestScript, number int, zone, kind, pool, backend string, extra []string) {
	name := fmt.Sprintf("s%d", number)
	frontRelay := fmt.Sprintf("r%d", number)
	backendRelay := fmt.Sprintf("b%d", number)
	runStandin(ts, false, []string{frontRelay, "relay"})
	runStandin(ts, false, []string{backendRelay, "relay", "--to", strings.TrimPrefix(ts.Getenv(backend), "http://")})
	settings := append([]string{"process.advertise=" + ts.Getenv(frontRelay+"_from")}, extra...)
	runSidecar(ts, false, append([]string{name, zone, kind, pool, "http://" + ts.Getenv(backendRelay+"_from")}, settings...))
	control(ts, false, []string{frontRelay, "to", fmt.Sprintf(`{"to":%q}`, ts.Getenv(name+"_peer"))})
}

// registerServers adds the backend servers to the platform's list before any entry
// runs, so that no entry orders servers in their place.
func registerServers(ts *testscript.TestScript) {
	for i, pool := range []string{"assistant", "assistant", "ledger", "ledger"} {
		zone := []string{"zone-a", "zone-b"}[i%2]
		setServer(ts, platform.Server{ID: fmt.Sprintf("server-s%d", i+1), Pool: pool, Zone: zone, State: "live"})
	}
}

func writeLists(ts *testscript.TestScript) {
	ts.Check(os.WriteFile(ts.MkAbs("accounts.ini"), []byte(accountsText), 0o600))
	ts.Check(os.WriteFile(ts.MkAbs("plans.ini"), []byte(plansText), 0o600))
	writeConfig(ts, false, []string{"accounts.ini", "plans.ini", "member-key=franchise", "choir-key=choir", "trainer-key=editors"})
}

// awaitServing waits until both entries serve requests to both pools.
func awaitServing(ts *testscript.TestScript) {
	for _, entry := range []string{"e1", "e2"} {
		address := ts.Getenv(entry)
		await(ts, false, []string{"^status 200", "standin", "call", address + "/v1/chat/completions", "--key", "member-key", "-X", "POST", "-d", ts.Getenv("CHAT")})
		await(ts, false, []string{"^status 200", "standin", "call", address + "/services/ledger/records/1", "--key", "member-key"})
	}
}
