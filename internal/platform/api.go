package platform

import (
	"encoding/json"
	"slices"
)

// Paths of the platform's API.
const (
	PathValue  = "/v1/kv"
	PathWatch  = "/v1/watch"
	PathLease  = "/v1/leases"
	PathServer = "/v1/servers"
	PathOrder  = "/v1/orders"
	PathUsage  = "/v1/usage"
	PathHost   = "/v1/hosts"
)

// Value is a key and its value in the key-value service.
type Value struct {
	Key string `json:"key"`
	// Data is base64 in JSON.
	Data []byte `json:"value"`
	// Revision of the change that wrote the value; all keys share one sequence.
	Revision uint64 `json:"revision"`
	// Lease is the ID of the lease that the value is bound to; 0 means none.
	Lease uint64 `json:"lease,omitempty"`
	// Deleted marks a watch event for the removal of the key.
	Deleted bool `json:"deleted,omitempty"`
}

// SwapRequest is the body of PUT /v1/kv.
type SwapRequest struct {
	Key  string `json:"key"`
	Data []byte `json:"value"`
	// Expect is the revision that the key must have; 0 means that it must not exist.
	Expect uint64 `json:"expect"`
	Lease  uint64 `json:"lease,omitempty"`
}

// SwapReply is the response of PUT and DELETE /v1/kv: 200 with the new revision,
// or 409 with the current one.
type SwapReply struct {
	Revision uint64 `json:"revision"`
}

// ListReply is the response of GET /v1/kv?prefix= and of GET /v1/watch?prefix=&after=. A watch
// waits for a change after the revision, at most for its wait parameter.
type ListReply struct {
	Values []Value `json:"values"`
	// Revision is the newest revision of the service.
	Revision uint64 `json:"revision"`
	// Unreadable holds the keys that exist and whose values could not be decoded.
	Unreadable []string `json:"-"`
}

// UnmarshalJSON decodes the values one by one.
func (l *ListReply) UnmarshalJSON(text []byte) error {
	var reply struct {
		Values   json.RawMessage `json:"values"`
		Revision uint64          `json:"revision"`
	}
	if err := json.Unmarshal(text, &reply); err != nil {
		return err
	}
	*l = ListReply{Revision: reply.Revision}
	values := DecodeElements[Value]("list", reply.Values, func(element json.RawMessage) {
		if key := ElementKey(element); key != "" {
			l.Unreadable = append(l.Unreadable, key)
		}
	})
	l.Values = slices.DeleteFunc(values, func(value Value) bool { return value.Key == "" })
	return nil
}

// LeaseRequest is the body of POST /v1/leases, and of PUT /v1/leases to renew a lease.
type LeaseRequest struct {
	ID uint64 `json:"id,omitempty"`
	// Length is in milliseconds.
	Length int64 `json:"length"`
}

// LeaseReply is the response of POST and PUT /v1/leases; an expired lease gets 404.
type LeaseReply struct {
	ID uint64 `json:"id"`
}

// Order is the body of POST /v1/orders, which starts or stops a backend server. The platform
// executes each order ID once. It refuses (409) an order whose fencing token is lower than that of
// an earlier order for the zone.
type Order struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Pool   string `json:"pool"`
	Action string `json:"action"`
	Server string `json:"server"`
	Fence  uint64 `json:"fence"`
	// NotAfter is the time after which the order must not be accepted, in Unix milliseconds.
	NotAfter int64 `json:"not_after"`
	// From is the name of the sending process.
	From string `json:"from"`
}

// Server is a backend server in the response of GET /v1/servers.
type Server struct {
	ID   string `json:"id"`
	Pool string `json:"pool"`
	Kind string `json:"kind"`
	Zone string `json:"zone"`
	// State is starting, live or stopping.
	State string `json:"state"`
	// IsUnreadable is true if only the ID could be decoded: the server exists, and nothing else is known.
	IsUnreadable bool `json:"-"`
}

// Usage is the body of POST /v1/usage: the usage in one window.
type Usage struct {
	// Start is when the window begins, in Unix seconds; Length is in seconds.
	Start   int64    `json:"start"`
	Length  int64    `json:"length"`
	Figures []Figure `json:"figures"`
	Fence   uint64   `json:"fence"`
	From    string   `json:"from"`
}

// Figure is the usage of one account and pool.
type Figure struct {
	Account      string `json:"account"`
	Pool         string `json:"pool"`
	Requests     uint64 `json:"requests"`
	PromptTokens uint64 `json:"prompt_tokens"`
	OutputTokens uint64 `json:"output_tokens"`
	// Late is the start of the window to which late usage belongs; 0 if the usage is not late.
	Late int64 `json:"late,omitempty"`
}

// Host is a host in the response of GET /v1/hosts, which may be stale.
type Host struct {
	Name string `json:"name"`
	// Address is the peer address of the process on the host.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Role is entry or sidecar.
	Role string `json:"role"`
	// State is live or leaving.
	State string `json:"state"`
}

// Expect is a revision that a key must have for a commit; 0 means that it must not exist.
type Expect struct {
	Key      string
	Revision uint64
}

// Write is a value written by a commit. Lease 0 means none.
type Write struct {
	Key   string
	Data  []byte
	Lease uint64
}

// Commit changes several keys atomically.
type Commit struct {
	Expect []Expect
	Writes []Write
	Remove []string
}

// FirstKey returns the first key that the commit changes, which identifies it in errors.
func (c *Commit) FirstKey() string {
	switch {
	case len(c.Writes) > 0:
		return c.Writes[0].Key
	case len(c.Remove) > 0:
		return c.Remove[0]
	default:
		return "nothing"
	}
}
