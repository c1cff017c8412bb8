package scenario_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// awaitTimeout limits how long await waits for a state; awaitInterval is its polling interval.
const (
	awaitTimeout  = 30 * time.Second
	awaitInterval = 100 * time.Millisecond
)

// verbs are the script commands in addition to those of testscript.
var verbs = map[string]func(*testscript.TestScript, bool, []string){
	"standin-run":  runStandin,
	"certificates": writeCertificates,
	"deploy":       deploy,
	"entry":        runEntry,
	"sidecar":      runSidecar,
	"restart":      restart,
	"crash":        signalVerb(syscall.SIGKILL, true),
	"terminate":    terminate,
	"freeze":       signalVerb(syscall.SIGSTOP, false),
	"thaw":         signalVerb(syscall.SIGCONT, false),
	"control":      control,
	"capture":      capture,
	"await":        await,
	"keys":         writeConfig,
	"server":       changeServer,
}

// runStandin starts a stand-in: standin-run NAME KIND [FLAG...].
// It sets $NAME to the base URL.
func runStandin(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	p := &process{
		name:    name,
		program: "standin",
		ready:   ts.MkAbs(name + ".ready"),
		log:     ts.MkAbs(name + ".log"),
	}
	p.args = append([]string{args[1], "--ready", p.ready}, args[2:]...)
	addresses := fleetOf(ts).start(ts, p)
	ts.Setenv(name, "http://"+addresses["address"])
	// A restarted process must listen on the same address, which other processes keep using.
	p.args = append(p.args, "--listen", addresses["address"])
	if args[1] == "relay" {
		ts.Setenv(name+"_from", relayAddress(ts, "http://"+addresses["address"]))
	}
}

// runEntry starts an entry: entry NAME ZONE [SECTION.KEY=VALUE...].
// It sets $NAME to the base URL for callers and $NAME_peer to the peer address.
func runEntry(ts *testscript.TestScript, _ bool, args []string) {
	defaults := []string{"caller.listen=127.0.0.1:0", "duty.lease=2s", "duty.margin=500ms", "duty.interval=100ms"}
	runBramleyhatch(ts, "entry", args[0], args[1], append(defaults, args[2:]...))
}

// runSidecar starts a sidecar: sidecar NAME ZONE KIND POOL URL [SECTION.KEY=VALUE...].
// The backend server's ID is "server-" followed by the sidecar's name.
func runSidecar(ts *testscript.TestScript, _ bool, args []string) {
	name, zone := args[0], args[1]
	defaults := []string{
		"backend.server=server-" + name, "backend.kind=" + args[2], "backend.pool=" + args[3], "backend.address=" + args[4],
	}
	runBramleyhatch(ts, "sidecar", name, zone, append(defaults, args[5:]...))
	setServer(ts, platform.Server{ID: "server-" + name, Pool: args[3], Kind: args[2], Zone: zone, State: "live"})
}

func runBramleyhatch(ts *testscript.TestScript, kind, name, zone string, values []string) {
	p := &process{
		name:    name,
		program: "bramleyhatch",
		ready:   ts.MkAbs(name + ".ready"),
		log:     ts.MkAbs(name + ".log"),
	}
	common := []string{
		"process.name=" + name, "process.region=" + regionOf(zone), "process.zone=" + zone, "process.peer=127.0.0.1:0",
		"process.ready=" + p.ready, "process.grace=20s", "platform.address=" + ts.Getenv("platform"),
		"platform.timeout=1s", "member.interval=100ms", "member.suspect=1500ms", "usage.window=2s", "usage.settle=1s",
	}
	file := ts.MkAbs(name + ".ini")
	settings := slices.Concat(common, tlsSettings(ts, name), values)
	ts.Check(os.WriteFile(file, []byte(formatINI(settings)), 0o600))
	p.args = []string{kind, "--settings", file}
	addresses := fleetOf(ts).start(ts, p)
	// A restarted process must listen on the same address, which other processes keep using.
	settings = append(settings, "process.peer="+addresses["peer"])
	if addresses["caller"] != "" {
		settings = append(settings, "caller.listen="+addresses["caller"])
		ts.Setenv(name, "http://"+addresses["caller"])
	}
	ts.Check(os.WriteFile(file, []byte(formatINI(settings)), 0o600))
	ts.Setenv(name+"_peer", addresses["peer"])
	setHost(ts, platform.Host{Name: name, Address: advertisedAddress(settings, addresses["peer"]), Zone: zone, Role: kind, State: "live"})
}

func regionOf(zone string) string {
	region, _, found := strings.Cut(zone, "-")
	if !found {
		return "region"
	}
	return region
}

func advertisedAddress(settings []string, address string) string {
	for _, setting := range settings {
		if value, ok := strings.CutPrefix(setting, "process.advertise="); ok {
			return value
		}
	}
	return address
}

// formatINI formats SECTION.KEY=VALUE settings as INI; later values override earlier ones.
func formatINI(settings []string) string {
	sections := map[string]map[string]string{}
	for _, setting := range settings {
		name, value, _ := strings.Cut(setting, "=")
		section, key, _ := strings.Cut(name, ".")
		if sections[section] == nil {
			sections[section] = map[string]string{}
		}
		sections[section][key] = value
	}
	var text strings.Builder
	for section, values := range sections {
		fmt.Fprintf(&text, "[%s]\n", section)
		for key, value := range values {
			fmt.Fprintf(&text, "%s = %s\n", key, value)
		}
	}
	return text.String()
}

// restart waits until processes have exited and starts them again: restart NAME...
func restart(ts *testscript.TestScript, _ bool, args []string) {
	for _, p := range fleetOf(ts).find(ts, args) {
		<-p.done
		fleetOf(ts).start(ts, p)
	}
}

// signalVerb returns a command that sends a signal to processes; with wait, the command
// waits until they exit.
func signalVerb(signal syscall.Signal, wait bool) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, p := range fleetOf(ts).find(ts, args) {
			p.signal(signal)
			if wait {
				<-p.done
			}
		}
	}
}

// terminate sends SIGTERM and requires exit code 0: terminate NAME...
// With "&" as the last argument it doesn't wait.
func terminate(ts *testscript.TestScript, _ bool, args []string) {
	wait := true
	if args[len(args)-1] == "&" {
		wait = false
		args = args[:len(args)-1]
	}
	for _, p := range fleetOf(ts).find(ts, args) {
		p.signal(syscall.SIGTERM)
		if !wait {
			continue
		}
		select {
		case <-p.done:
		case <-time.After(stopTimeout):
			ts.Fatalf("%s did not exit within %v of SIGTERM", p.name, stopTimeout)
		}
		if p.code != 0 {
			ts.Fatalf("%s exited with code %d", p.name, p.code)
		}
	}
}

// control sends a POST request to a stand-in's control endpoint: control NAME PATH [JSON].
func control(ts *testscript.TestScript, _ bool, args []string) {
	body := "{}"
	if len(args) > 2 {
		body = args[2]
	}
	postJSON(ts, ts.Getenv(args[0])+"/control/"+args[1], []byte(body))
}

// await repeats a command until its output matches: await REGEXP PROGRAM [ARGUMENT...].
// "! await" repeats it until its output no longer matches.
func await(ts *testscript.TestScript, neg bool, args []string) {
	pattern, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	deadline := time.Now().Add(awaitTimeout)
	var output []byte
	for time.Now().Before(deadline) {
		command := exec.Command(programPath(ts, args[1]), args[2:]...)
		command.Dir = ts.MkAbs(".")
		command.Env = append(os.Environ(), "BRAMLEYHATCH_ENTRY="+ts.Getenv("BRAMLEYHATCH_ENTRY"), "BRAMLEYHATCH_TOKEN="+ts.Getenv("BRAMLEYHATCH_TOKEN"))
		output, _ = command.CombinedOutput()
		if pattern.Match(output) != neg {
			_, _ = ts.Stdout().Write(output)
			return
		}
		time.Sleep(awaitInterval)
	}
	ts.Fatalf("condition not met within %v: %v; last output:\n%s", awaitTimeout, args, output)
}

// writeConfig writes the lists and keys to the store as its first configuration:
// keys ACCOUNTS PLANS [KEY=ACCOUNT...].
func writeConfig(ts *testscript.TestScript, _ bool, args []string) {
	config, err := lists.ReadFiles(ts.MkAbs(args[0]), ts.MkAbs(args[1]))
	ts.Check(err)
	config.SetLists(1)
	for _, pair := range args[2:] {
		key, account, _ := strings.Cut(pair, "=")
		config.SetKeys(append(config.GetKeys(), listpb.Key_builder{Hash: lists.HashKey(key), Account: account}.Build()))
	}
	data, err := proto.Marshal(config)
	ts.Check(err)
	_, err = platform.NewClient(ts.Getenv("platform"), time.Second).CompareAndSwap(context.Background(), "config", 0, data, 0)
	ts.Check(err)
}

// changeServer sets an entry of the platform's list of backend servers: server ID POOL ZONE STATE.
func changeServer(ts *testscript.TestScript, _ bool, args []string) {
	setServer(ts, platform.Server{ID: args[0], Pool: args[1], Zone: args[2], State: args[3]})
}

func setHost(ts *testscript.TestScript, host platform.Host) {
	postJSON(ts, ts.Getenv("platform")+"/control/hosts", encodeJSON(ts, host))
}

func setServer(ts *testscript.TestScript, server platform.Server) {
	postJSON(ts, ts.Getenv("platform")+"/control/servers", encodeJSON(ts, server))
}

func postJSON(ts *testscript.TestScript, address string, body []byte) {
	response, err := http.Post(address, "application/json", bytes.NewReader(body))
	ts.Check(err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("POST %s: status %d", address, response.StatusCode)
	}
}

// capture sets a variable to the regular expression's first group as matched in the last
// command's output: capture NAME REGEXP.
func capture(ts *testscript.TestScript, _ bool, args []string) {
	match := regexp.MustCompile("(?m)" + args[1]).FindStringSubmatch(ts.ReadFile("stdout"))
	if match == nil {
		ts.Fatalf("no match for %s in the last output", args[1])
	}
	ts.Setenv(args[0], match[1])
}
