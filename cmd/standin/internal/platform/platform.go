// Package platform is a stand-in for the platform: its key-value service,
// orders of backend servers, usage reports and the host list.
package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

// Platform simulates the platform. Exported fields must be set before Routes is called.
type Platform struct {
	// StartDelay is the time from a start order until the backend server is live.
	StartDelay time.Duration

	store   *store
	control *control

	mutex   sync.Mutex
	servers map[string]platform.Server
	hosts   map[string]platform.Host
	fences  map[string]uint64
	applied map[string]bool
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		store:   newStore(),
		control: newControl(),
		servers: map[string]platform.Server{},
		hosts:   map[string]platform.Host{},
		fences:  map[string]uint64{},
		applied: map[string]bool{},
	}
}

// Routes returns the platform's endpoints and the control endpoints for tests.
func (p *Platform) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: platform.PathValue, Handler: p.handleGet},
		{Method: http.MethodPut, Path: platform.PathValue, Handler: p.handleSwap},
		{Method: http.MethodDelete, Path: platform.PathValue, Handler: p.handleDelete},
		{Method: http.MethodGet, Path: platform.PathWatch, Handler: p.handleWatch},
		{Method: http.MethodPost, Path: platform.PathLease, Handler: p.handleGrant},
		{Method: http.MethodPut, Path: platform.PathLease, Handler: p.handleRenew},
		{Method: http.MethodGet, Path: platform.PathServer, Handler: p.handleServers},
		{Method: http.MethodPost, Path: platform.PathOrder, Handler: p.handleOrder},
		{Method: http.MethodPost, Path: platform.PathUsage, Handler: p.handleUsage},
		{Method: http.MethodGet, Path: platform.PathHost, Handler: p.handleHosts},
		{Method: http.MethodPost, Path: "/control/faults", Handler: p.control.handleFaults},
		{Method: http.MethodGet, Path: "/control/record", Handler: p.control.handleRecord},
		{Method: http.MethodPost, Path: "/control/servers", Handler: p.handleSetServer},
		{Method: http.MethodPost, Path: "/control/hosts", Handler: p.handleSetHost},
	}
}

func (p *Platform) handleGet(w http.ResponseWriter, r *http.Request) {
	if !p.control.admit(w, r, false) {
		return
	}
	query := r.URL.Query()
	if query.Has("prefix") {
		answer.JSON(w, http.StatusOK, p.store.list(query.Get("prefix"), time.Now()))
		return
	}
	value, ok := p.store.get(query.Get("key"), time.Now())
	if !ok {
		answer.Error(w, http.StatusNotFound, "no such key")
		return
	}
	answer.JSON(w, http.StatusOK, value)
}

func (p *Platform) handleSwap(w http.ResponseWriter, r *http.Request) {
	var request platform.SwapRequest
	if !p.control.admit(w, r, true) || !answer.Read(w, r, &request) {
		return
	}
	if len(request.Data) > maxValueBytes {
		answer.Error(w, http.StatusRequestEntityTooLarge, "value is over a megabyte")
		return
	}
	revision, ok := p.store.swap(request, time.Now())
	p.respondChange(w, revision, ok)
}

func (p *Platform) handleDelete(w http.ResponseWriter, r *http.Request) {
	if !p.control.admit(w, r, true) {
		return
	}
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		answer.Error(w, http.StatusBadRequest, "expect is not a revision")
		return
	}
	revision, ok := p.store.remove(r.URL.Query().Get("key"), expect, time.Now())
	p.respondChange(w, revision, ok)
}

func (p *Platform) respondChange(w http.ResponseWriter, revision uint64, ok bool) {
	if p.control.consumeLostAnswer() {
		answer.Abort(w)
		return
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	answer.JSON(w, status, platform.SwapReply{Revision: revision})
}

func (p *Platform) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request platform.LeaseRequest
	if !p.control.admit(w, r, true) || !answer.Read(w, r, &request) {
		return
	}
	lease := p.store.grant(time.Duration(request.Length)*time.Millisecond, time.Now())
	answer.JSON(w, http.StatusOK, platform.LeaseReply{ID: lease})
}

func (p *Platform) handleRenew(w http.ResponseWriter, r *http.Request) {
	var request platform.LeaseRequest
	if !p.control.admit(w, r, true) || !answer.Read(w, r, &request) {
		return
	}
	renewed := p.store.renew(request.ID, time.Duration(request.Length)*time.Millisecond, time.Now())
	if p.control.consumeLostAnswer() {
		answer.Abort(w)
		return
	}
	if !renewed {
		answer.Error(w, http.StatusNotFound, "the lease has lapsed")
		return
	}
	answer.JSON(w, http.StatusOK, platform.LeaseReply{ID: request.ID})
}

func (p *Platform) handleWatch(w http.ResponseWriter, r *http.Request) {
	if !p.control.admit(w, r, false) {
		return
	}
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	if p.control.currentFaults().OldWatches {
		after = 0
	}
	deadline := time.After(wait)
	for {
		reply, changed := p.store.eventsAfter(query.Get("prefix"), after, time.Now())
		if len(reply.Values) > 0 && !p.control.currentFaults().SilentWatches {
			answer.JSON(w, http.StatusOK, p.keepOldest(reply))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			if p.control.currentFaults().SilentWatches {
				<-r.Context().Done()
				return
			}
			answer.JSON(w, http.StatusOK, reply)
			return
		}
	}
}

// keepOldest drops all but the oldest event if OldWatches is set.
func (p *Platform) keepOldest(reply platform.ListReply) platform.ListReply {
	if !p.control.currentFaults().OldWatches || len(reply.Values) == 0 {
		return reply
	}
	reply.Values = reply.Values[:1]
	return reply
}
