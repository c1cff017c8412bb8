package cmd_test

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/bramleyhatch/bramleyhatch/internal/listen/listentest"
)

const (
	// earlyStarts is the number of processes that get a signal, each earlyStep later after its
	// start than the one before. The delays cover the initialization of the program's packages.
	earlyStarts = 60
	earlyStep   = time.Millisecond
	// exitTimeout limits how long a process takes to exit after a signal.
	exitTimeout = 4 * time.Second
)

// Guards against a signal that only a library's handler receives, since it asks for signals before
// the program does: the process would go on serving.
func TestSignalEndsProcessAtAnyTimeAfterItsStart(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		t.Run(signal.String(), func(t *testing.T) {
			var all []*child
			for i := range earlyStarts {
				c := startGateway(t)
				time.Sleep(time.Duration(i) * earlyStep)
				c.signal(t, signal)
				all = append(all, c)
			}
			hung := 0
			for i, c := range all {
				switch err := <-c.exited; {
				case err == nil || endedBy(err, signal):
				case endedBy(err, syscall.SIGKILL):
					hung++
					t.Errorf("no exit within %v of a signal %v after the start; log:\n%s", exitTimeout, time.Duration(i)*earlyStep, c.log(t))
				default:
					t.Errorf("exit after a signal %v after the start: %v; log:\n%s", time.Duration(i)*earlyStep, err, c.log(t))
				}
			}
			must.Zero(t, hung, must.Sprintf("%d of %d processes ran on", hung, earlyStarts))
		})
	}
}

// Guards against a command that no signal ends, since a library's handler is in place of the default
// action.
func TestSignalEndsCommandThatWaitsForAnEntry(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		t.Run(signal.String(), func(t *testing.T) {
			entry, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = entry.Close() }()
			c := startChild(t, t.TempDir(), "status", "--entry", entry.Addr().String(), "--token", "t", "--timeout", "1h")
			conn, err := entry.Accept()
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			c.signal(t, signal)
			err = <-c.exited
			must.True(t, endedBy(err, signal), must.Sprintf("%v; log:\n%s", err, c.log(t)))
		})
	}
}

// Guards against a repeated signal that has its default action while the process drains or exits.
func TestRepeatedSignalsDoNotCutOffTheDrain(t *testing.T) {
	c := startGateway(t)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		return strings.Contains(c.log(t), "listens for")
	}), wait.Timeout(exitTimeout), wait.Gap(time.Millisecond)))
	c.signal(t, syscall.SIGTERM)
	for {
		select {
		case err := <-c.exited:
			must.NoError(t, err, must.Sprint(c.log(t)))
			must.StrContains(t, c.log(t), "process: stopped")
			return
		case <-time.After(time.Millisecond):
			_ = c.command.Process.Signal(syscall.SIGTERM)
		}
	}
}

// child is a process that runs a command of the program.
type child struct {
	command *exec.Cmd
	folder  string
	exited  chan error
}

// startGateway starts a gateway whose store does not answer.
func startGateway(t *testing.T) *child {
	t.Helper()
	folder := t.TempDir()
	file := filepath.Join(folder, "gateway.ini")
	store := listentest.FreeAddress(t)
	settings := fmt.Sprintf("[process]\nname = g\nregion = r\nzone = z\npeer = %s\ngrace = 1s\ndata = %s\n"+
		"[store]\naddress = %s\norders = %s\ntimeout = 100ms\nlease = 2s\nwatch = 500ms\n"+
		"[front]\nlisten = %s\nready = %s\nlinger = 100ms\n",
		listentest.FreeAddress(t), filepath.Join(folder, "data"), store, store,
		listentest.FreeAddress(t), listentest.FreeAddress(t))
	must.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	return startChild(t, folder, "gateway", "--settings", file)
}

// startChild starts a command whose output goes to a file in the folder.
func startChild(t *testing.T, folder string, arguments ...string) *child {
	t.Helper()
	log, err := os.Create(filepath.Join(folder, "log"))
	must.NoError(t, err)
	defer func() { _ = log.Close() }()
	command := exec.Command(os.Args[0])
	command.Args = append([]string{"bramleyhatch"}, arguments...)
	command.Stdout, command.Stderr = log, log
	must.NoError(t, command.Start())
	c := &child{command: command, folder: folder, exited: make(chan error, 1)}
	finished := make(chan struct{})
	go func() {
		c.exited <- command.Wait()
		close(finished)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-finished
	})
	return c
}

// signal sends a signal to the process, and SIGKILL if it does not exit.
func (c *child) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	must.NoError(t, c.command.Process.Signal(signal))
	timer := time.AfterFunc(exitTimeout, func() { _ = c.command.Process.Kill() })
	t.Cleanup(func() { timer.Stop() })
}

// log returns what the process has written.
func (c *child) log(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(c.folder, "log"))
	must.NoError(t, err)
	return string(text)
}

// endedBy reports whether a process was ended by a signal.
func endedBy(err error, signal syscall.Signal) bool {
	var failed *exec.ExitError
	if !errors.As(err, &failed) {
		return false
	}
	status, ok := failed.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == signal
}
