package sidecar

import (
	"encoding/json"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/route"
)

// choose returns the server for a request, or nil, and the reason.
func (p *Pool) choose(request *peerpb.RunRequest, prefix uint64, tried map[string]bool) (*server, route.Reason) {
	if request.GetClaim() != "" {
		return p.findHome(request, tried)
	}
	wanted := route.Request{Prefix: prefix, Version: request.GetVersion(), Tried: tried}
	return p.directory.choose(request.GetPool(), wanted)
}

// findHome returns the only server that may run a claim, whatever its load.
func (p *Pool) findHome(request *peerpb.RunRequest, tried map[string]bool) (*server, route.Reason) {
	if p.Homes == nil {
		return nil, "claims have no home here"
	}
	name, epoch := p.Homes.Home(request.GetPool(), request.GetClaim())
	if name == "" {
		return nil, "the claim's home is not known"
	}
	if tried[name] {
		return nil, "the claim has no other home"
	}
	request.SetEpoch(epoch)
	return p.directory.find(name), "home of the claim"
}

// prefixFields holds the fields of an engine request that form its prefix.
type prefixFields struct {
	Prompt   string `json:"prompt"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// prefixOf returns the hash of the first bytes of a prompt; 0 for plain services.
func prefixOf(request *peerpb.RunRequest) uint64 {
	if request.GetKind() != peerpb.Kind_KIND_COMPLETION && request.GetKind() != peerpb.Kind_KIND_CHAT {
		return 0
	}
	var body prefixFields
	if err := json.Unmarshal(request.GetBody(), &body); err != nil {
		return 0
	}
	text := []byte(body.Prompt)
	for _, message := range body.Messages {
		if len(text) >= route.DefaultPrefixBytes {
			break
		}
		text = append(text, message.Content...)
		text = append(text, 0)
	}
	return route.Hash(text[:min(len(text), route.DefaultPrefixBytes)])
}
