//go:build review

package standin

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run, and counts the runs of each request.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
	runs  map[string][]run
}

// run is one run of a request by a sampler.
type run struct {
	sampler string
	after   int
	at      time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	return &record{file: file, began: time.Now(), runs: map[string][]run{}}, err
}

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.write(format, values...)
}

func (r *record) write(format string, values ...any) {
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
}

// ran records that a sampler begins to work on a request.
func (r *record) ran(sampler, id string, after int, request *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[id] = append(r.runs[id], run{sampler: sampler, after: after, at: time.Now()})
	r.write("sampler %s: runs %s %s %s after event %d, run %d of this request", sampler, id, request.Method, request.URL.Path, after, len(r.runs[id]))
}

// runsOf returns the runs of a request.
func (r *record) runsOf(id string) []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]run(nil), r.runs[id]...)
}

// process is a gateway of the project.
type process struct {
	name     string
	binary   string
	settings string
	front    string
	ready    string
	log      *os.File

	mutex    sync.Mutex
	command  *exec.Cmd
	finished chan struct{}
	startAt  time.Time
}

// deployment is a small deployment on loopback.
type deployment struct {
	store    *store
	record   *record
	folder   string
	gateways []*process
}

func newDeployment(record *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	return &deployment{store: newStore(), record: record, folder: folder}, err
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, gateway := range d.gateways {
		gateway.kill()
	}
	_ = os.RemoveAll(d.folder)
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// addGateway writes the settings of a gateway from the deploy template and starts it.
func (d *deployment) addGateway(name, zone string) error {
	template, err := os.ReadFile(filepath.Join("deploy", "gateway.ini"))
	if err != nil {
		return err
	}
	// Each gateway has a loopback address of its own, since the template gives all of them the same ports.
	ip := fmt.Sprintf("127.0.0.%d", 2+len(d.gateways))
	front, ready, peer := freePort(ip), freePort(ip), freePort(ip)
	values := map[string]string{
		"node": name, "region": "r", "zone": zone, "ip": ip, "port-range.0": peer,
		"platform.address": d.store.listen(name), "cloud.address": listenCloud(), "platform.value-bytes": "1048576",
		"listen.front": ip + ":" + front, "listen.ready": ip + ":" + ready,
		"bounds.grace-s": "8", "bounds.status-s": "120", "bounds.lease-ms": "3000", "bounds.require-fence": "true", "bounds.report-window-s": "5",
		"tolerate.zones": "0", "tolerate.machines": "1", "limits.cpu-share": "0.304", "limits.cores": "1",
	}
	missing := ""
	text := placeholder.ReplaceAllStringFunc(string(template), func(found string) string {
		value, ok := values[found[2:len(found)-2]]
		if !ok {
			missing = found
		}
		return value
	})
	if missing != "" {
		return fmt.Errorf("no value for %s in the template", missing)
	}
	binary, err := filepath.Abs(filepath.Join("target", "bramleyhatch"))
	if err != nil {
		return err
	}
	p := &process{name: name, binary: binary, settings: filepath.Join(d.folder, name+".ini"), front: values["listen.front"], ready: values["listen.ready"]}
	if p.log, err = os.Create(filepath.Join(d.folder, name+".log")); err != nil {
		return err
	}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return err
	}
	d.gateways = append(d.gateways, p)
	return p.start()
}

func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	command := exec.Command(p.binary, "gateway")
	command.Env = append(os.Environ(), "BRAMLEYHATCH_SETTINGS="+p.settings)
	command.Stdout, command.Stderr = p.log, p.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	finished := make(chan struct{})
	p.command, p.finished, p.startAt = command, finished, time.Now()
	go func() {
		_ = command.Wait()
		close(finished)
	}()
	return nil
}

// kill ends the process at once.
func (p *process) kill() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.finished
	p.command = nil
}

// awaitReady waits until the process reports that it is ready.
func (p *process) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + p.ready + "/bramleyhatch/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// listenCloud serves the platform's API for duties, which accepts every call.
func listenCloud() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	return listener.Addr().String()
}

func freePort(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	_, port, _ := net.SplitHostPort(listener.Addr().String())
	return port
}

// startGateways starts gateways in one zone and waits until they are ready.
func (d *deployment) startGateways(count int) error {
	for i := range count {
		if err := d.addGateway(fmt.Sprintf("front-z1-%d", i+1), "z1"); err != nil {
			return err
		}
	}
	for _, gateway := range d.gateways {
		if !gateway.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s does not get ready", gateway.name)
		}
	}
	return nil
}

// repeat calls a function at the start of each period until the end.
func repeat(end time.Time, period time.Duration, act func()) {
	for next := time.Now(); next.Before(end); next = next.Add(period) {
		time.Sleep(time.Until(next))
		act()
	}
}
