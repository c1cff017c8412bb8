// Package relay stands between two ends of TCP connections: it can cut them, or
// let them go silent while new ones work.
package relay

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
)

const bufferBytes = 32 << 10

// Relay is the stand-in. Exported fields are set before Start.
type Relay struct {
	From string
	// To is where it relays to; the control endpoint "to" changes it.
	To string

	listener net.Listener

	mutex       sync.Mutex
	refuse      bool
	connections map[*pair]bool
}

// pair is one connection from each end.
type pair struct {
	near   net.Conn
	far    net.Conn
	mutex  sync.Mutex
	silent bool
}

// Routes returns the control endpoints of tests.
func (r *Relay) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/control/address", Handler: r.handleAddress},
		// cut closes all connections and refuses new ones until heal.
		{Method: http.MethodPost, Path: "/control/cut", Handler: r.handleCut},
		// silence drops all bytes of the present connections for good; new ones work.
		{Method: http.MethodPost, Path: "/control/silence", Handler: r.handleSilence},
		{Method: http.MethodPost, Path: "/control/heal", Handler: r.handleHeal},
		{Method: http.MethodPost, Path: "/control/to", Handler: r.handleTo},
	}
}

// Start listens and relays in the background.
func (r *Relay) Start() error {
	r.connections = map[*pair]bool{}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", r.From)
	if err != nil {
		return err
	}
	r.listener = listener
	go r.accept()
	return nil
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(near)
	}
}

func (r *Relay) relay(near net.Conn) {
	r.mutex.Lock()
	refuse, to := r.refuse, r.To
	r.mutex.Unlock()
	if refuse {
		_ = near.Close()
		return
	}
	far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", to)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: far}
	r.mutex.Lock()
	r.connections[p] = true
	r.mutex.Unlock()
	go p.copy(near, far)
	p.copy(far, near)
	r.mutex.Lock()
	delete(r.connections, p)
	r.mutex.Unlock()
}

// copy passes bytes on until an end closes; a silent pair swallows them.
func (p *pair) copy(to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.isSilent() {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if p.isSilent() {
		return
	}
	_ = p.near.Close()
	_ = p.far.Close()
}

func (p *pair) isSilent() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.silent
}

func (p *pair) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.silent = true
}

func (r *Relay) handleAddress(w http.ResponseWriter, _ *http.Request) {
	answer.JSON(w, http.StatusOK, map[string]string{"address": r.listener.Addr().String()})
}

func (r *Relay) handleCut(w http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refuse = true
	for p := range r.connections {
		_ = p.near.Close()
		_ = p.far.Close()
	}
	answer.JSON(w, http.StatusOK, map[string]int{"cut": len(r.connections)})
}

func (r *Relay) handleSilence(w http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for p := range r.connections {
		p.silence()
	}
	answer.JSON(w, http.StatusOK, map[string]int{"silenced": len(r.connections)})
}

func (r *Relay) handleHeal(w http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refuse = false
	answer.JSON(w, http.StatusOK, struct{}{})
}

func (r *Relay) handleTo(w http.ResponseWriter, request *http.Request) {
	var target struct {
		To string `json:"to"`
	}
	if !answer.Read(w, request, &target) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.To = target.To
	answer.JSON(w, http.StatusOK, target)
}
