// Package relay forwards TCP connections. It can close them, or silently drop the data of existing
// connections while new connections work.
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

// Relay is a TCP relay. Exported fields are set before Start.
type Relay struct {
	From string
	// To is the address to which connections are relayed; /control/to changes it.
	To string

	listener net.Listener

	mutex       sync.Mutex
	refuse      bool
	connections map[*connection]bool
}

// connection pairs a client's connection with the connection dialed to the target.
type connection struct {
	client net.Conn
	target net.Conn
	mutex  sync.Mutex
	silent bool
}

// Routes returns the control endpoints for tests.
func (r *Relay) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/control/address", Handler: r.handleAddress},
		// cut closes all connections, and until heal also every new connection.
		{Method: http.MethodPost, Path: "/control/cut", Handler: r.handleCut},
		// silence permanently drops all further data of the current connections; new connections
		// work.
		{Method: http.MethodPost, Path: "/control/silence", Handler: r.handleSilence},
		{Method: http.MethodPost, Path: "/control/heal", Handler: r.handleHeal},
		{Method: http.MethodPost, Path: "/control/to", Handler: r.handleTo},
	}
}

// Start listens, and relays connections in the background.
func (r *Relay) Start() error {
	r.connections = map[*connection]bool{}
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
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(client)
	}
}

func (r *Relay) relay(client net.Conn) {
	r.mutex.Lock()
	refuse, to := r.refuse, r.To
	r.mutex.Unlock()
	if refuse {
		_ = client.Close()
		return
	}
	target, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", to)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{client: client, target: target}
	r.mutex.Lock()
	r.connections[c] = true
	r.mutex.Unlock()
	go c.forward(client, target)
	c.forward(target, client)
	r.mutex.Lock()
	delete(r.connections, c)
	r.mutex.Unlock()
}

// forward copies data until either end closes; a silenced connection drops the data and stays open.
func (c *connection) forward(to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.isSilent() {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if c.isSilent() {
		return
	}
	_ = c.client.Close()
	_ = c.target.Close()
}

func (c *connection) isSilent() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.silent
}

func (c *connection) silence() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silent = true
}

func (r *Relay) handleAddress(w http.ResponseWriter, _ *http.Request) {
	answer.JSON(w, http.StatusOK, map[string]string{"address": r.listener.Addr().String()})
}

func (r *Relay) handleCut(w http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refuse = true
	for c := range r.connections {
		_ = c.client.Close()
		_ = c.target.Close()
	}
	answer.JSON(w, http.StatusOK, map[string]int{"cut": len(r.connections)})
}

func (r *Relay) handleSilence(w http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for c := range r.connections {
		c.silence()
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
