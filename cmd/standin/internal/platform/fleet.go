package platform

import (
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

func (p *Platform) handleServers(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	zone := r.URL.Query().Get("zone")
	servers := []platform.Server{}
	for _, server := range p.servers {
		if zone == "" || server.Zone == zone {
			servers = append(servers, server)
		}
	}
	answer.JSON(w, http.StatusOK, servers)
}

func (p *Platform) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order platform.Order
	if !answer.Read(w, r, &order) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	refused := p.refusesOrder(order)
	p.recordOrder(order, refused)
	if refused {
		answer.JSON(w, http.StatusConflict, platform.SwapReply{Revision: p.fences[order.Zone]})
		return
	}
	p.fences[order.Zone] = max(p.fences[order.Zone], order.Fence)
	if !p.ordered[order.ID] {
		p.ordered[order.ID] = true
		p.apply(order)
	}
	answer.JSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) refusesOrder(order platform.Order) bool {
	if p.control.now().IgnoreFences {
		return false
	}
	late := order.NotAfter != 0 && time.Now().UnixMilli() > order.NotAfter
	return late || order.Fence < p.fences[order.Zone]
}

func (p *Platform) recordOrder(order platform.Order, refused bool) {
	p.control.mutex.Lock()
	defer p.control.mutex.Unlock()
	if refused {
		p.control.record.Refused = append(p.control.record.Refused, order)
		return
	}
	p.control.record.Orders = append(p.control.record.Orders, order)
}

func (p *Platform) apply(order platform.Order) {
	if order.Action == "stop" {
		delete(p.servers, order.Server)
		return
	}
	p.servers[order.Server] = platform.Server{ID: order.Server, Pool: order.Pool, Zone: order.Zone, State: "starting"}
	time.AfterFunc(p.StartDelay, func() { p.start(order.Server) })
}

func (p *Platform) start(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if server, ok := p.servers[id]; ok {
		server.State = "live"
		p.servers[id] = server
	}
}

func (p *Platform) handleUsage(w http.ResponseWriter, r *http.Request) {
	var usage platform.Usage
	if !answer.Read(w, r, &usage) {
		return
	}
	p.control.mutex.Lock()
	defer p.control.mutex.Unlock()
	p.control.record.Usage = append(p.control.record.Usage, usage)
	answer.JSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) handleHosts(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	hosts := []platform.Host{}
	for _, host := range p.hosts {
		hosts = append(hosts, host)
	}
	answer.JSON(w, http.StatusOK, hosts)
}

// handleSetServer adds a backend server, or removes it if its state is gone.
func (p *Platform) handleSetServer(w http.ResponseWriter, r *http.Request) {
	var server platform.Server
	if !answer.Read(w, r, &server) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.servers[server.ID] = server
	if server.State == "gone" {
		delete(p.servers, server.ID)
	}
	answer.JSON(w, http.StatusOK, server)
}

// handleSetHost adds a host, or removes it if its state is gone.
func (p *Platform) handleSetHost(w http.ResponseWriter, r *http.Request) {
	var host platform.Host
	if !answer.Read(w, r, &host) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.hosts[host.Name] = host
	if host.State == "gone" {
		delete(p.hosts, host.Name)
	}
	answer.JSON(w, http.StatusOK, host)
}
