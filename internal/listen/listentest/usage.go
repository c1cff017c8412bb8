package listentest

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const sampleInterval = 20 * time.Millisecond

// Usage is the largest use of memory and descriptors by a process that was seen.
type Usage struct {
	// Memory is the resident set of the process with the bytes that have arrived and were not read yet.
	Memory int64
	// Descriptors is the number of open files and sockets.
	Descriptors int
}

// UnreadBytes returns the bytes that have arrived for an address and were not read yet.
func UnreadBytes(t testing.TB, address string) int64 {
	t.Helper()
	return unreadBytes(portOf(t, address))
}

func portOf(t testing.TB, address string) int {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	must.NoError(t, err)
	number, err := strconv.Atoi(port)
	must.NoError(t, err)
	return number
}

// Watcher samples the usage of a process.
type Watcher struct {
	pid, port int
	ended     chan struct{}
	group     sync.WaitGroup
	mutex     sync.Mutex
	largest   Usage
}

// Watch samples the usage of a process that listens on the address until Stop is called.
func Watch(t testing.TB, pid int, address string) *Watcher {
	t.Helper()
	w := &Watcher{pid: pid, port: portOf(t, address), ended: make(chan struct{})}
	w.group.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			w.Sample()
			select {
			case <-w.ended:
				return
			case <-ticker.C:
			}
		}
	})
	return w
}

// Sample takes a sample now.
func (w *Watcher) Sample() {
	memory, descriptors := residentBytes(w.pid)+unreadBytes(w.port), openFiles(w.pid)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.largest.Memory = max(w.largest.Memory, memory)
	w.largest.Descriptors = max(w.largest.Descriptors, descriptors)
}

// Stop returns the largest usage that was seen.
func (w *Watcher) Stop() Usage {
	close(w.ended)
	w.group.Wait()
	return w.largest
}

// residentBytes returns the resident set of a process; 0 once it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns the bytes that wait in the receive queues of a local port's connections.
func unreadBytes(port int) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	suffix := fmt.Sprintf(":%04X", port)
	// stateListen is the state of a listener, whose queue counts connections.
	const stateListen = "0A"
	var sum int64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == stateListen {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		unread, _ := strconv.ParseInt(queue, 16, 64)
		sum += unread
	}
	return sum
}

func openFiles(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
