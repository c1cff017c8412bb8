package scenario_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 30 * time.Second
	pollInterval = 25 * time.Millisecond
	logTailLines = 25
)

// process is a program started by a scenario.
type process struct {
	name    string
	program string
	args    []string
	ready   string
	log     string
	command *exec.Cmd
	done    chan struct{}
	code    int
}

// fleet holds the processes of one scenario.
type fleet struct {
	mutex     sync.Mutex
	processes map[string]*process
	order     []string
}

type fleetKey struct{}

func setup(env *testscript.Env) error {
	f := &fleet{processes: map[string]*process{}}
	env.Values[fleetKey{}] = f
	env.Setenv("HOME", env.WorkDir)
	env.Setenv("CHAT", `{"model":"assistant","messages":[{"role":"user","content":"a note"}],"max_tokens":8}`)
	env.Setenv("STREAM", `{"model":"assistant","messages":[{"role":"user","content":"a note"}],"max_tokens":8,"stream":true}`)
	env.Setenv("LONG", `{"model":"assistant","messages":[{"role":"user","content":"a long note"}],"max_tokens":400,"stream":true}`)
	env.Setenv("OPERATOR_HASH", lists.HashKey(operatorToken))
	env.Setenv("MEMBER_HASH", lists.HashKey("member-key"))
	env.Setenv("POSTING", `{"member":"ana","hours":1}`)
	env.Defer(func() { f.killAll(env.T()) })
	return nil
}

func fleetOf(ts *testscript.TestScript) *fleet {
	f, _ := ts.Value(fleetKey{}).(*fleet)
	return f
}

// killAll kills all processes, prints the last lines of their logs and fails the test on a data race.
func (f *fleet) killAll(t testscript.T) {
	for _, name := range f.order {
		p := f.processes[name]
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		text, _ := os.ReadFile(p.log)
		t.Log(fmt.Sprintf("[%s] %s", name, lastLines(text, logTailLines)))
		if bytes.Contains(text, []byte("DATA RACE")) {
			t.Log(string(text))
			t.FailNow()
		}
	}
}

func lastLines(text []byte, maxLines int) string {
	var lines []string
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	if len(lines) > maxLines {
		lines = lines[len(lines)-maxLines:]
	}
	return strings.Join(lines, "\n    ")
}

func (p *process) signal(signal syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// start runs the program, waits for its ready file and returns the addresses in it.
func (f *fleet) start(ts *testscript.TestScript, p *process) map[string]string {
	_ = os.Remove(p.ready)
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	p.command = exec.Command(programPath(ts, p.program), p.args...)
	p.command.Stdout = log
	p.command.Stderr = log
	p.command.Dir = ts.MkAbs(".")
	p.command.Env = append(os.Environ(), "GORACE=halt_on_error=0")
	p.done = make(chan struct{})
	ts.Check(p.command.Start())
	go func() {
		_ = p.command.Wait()
		p.code = p.command.ProcessState.ExitCode()
		_ = log.Close()
		close(p.done)
	}()
	f.mutex.Lock()
	if f.processes[p.name] == nil {
		f.order = append(f.order, p.name)
	}
	f.processes[p.name] = p
	f.mutex.Unlock()
	return awaitReady(ts, p)
}

// programPath returns the path of a testscript.Main program in the script's PATH.
func programPath(ts *testscript.TestScript, program string) string {
	for folder := range strings.SplitSeq(ts.Getenv("PATH"), string(os.PathListSeparator)) {
		path := filepath.Join(folder, program)
		if _, err := os.Stat(path); err == nil {
			return path
		}
	}
	ts.Fatalf("program %s not found in PATH", program)
	return ""
}

func awaitReady(ts *testscript.TestScript, p *process) map[string]string {
	deadline := time.After(startTimeout)
	for {
		text, err := os.ReadFile(p.ready)
		if err == nil {
			addresses := map[string]string{}
			ts.Check(json.Unmarshal(text, &addresses))
			return addresses
		}
		select {
		case <-p.done:
			text, _ := os.ReadFile(p.log)
			ts.Fatalf("%s exited with code %d before it was ready:\n%s", p.name, p.code, lastLines(text, logTailLines))
		case <-deadline:
			ts.Fatalf("%s was not ready within %v", p.name, startTimeout)
		case <-time.After(pollInterval):
		}
	}
}

// find returns the processes with the given names.
func (f *fleet) find(ts *testscript.TestScript, names []string) []*process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var found []*process
	for _, name := range names {
		p := f.processes[name]
		if p == nil {
			ts.Fatalf("unknown process %s", name)
		}
		found = append(found, p)
	}
	return found
}
