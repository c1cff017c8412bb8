package platform

// Paths of the platform's interface.
const (
	PathValue  = "/v1/kv"
	PathWatch  = "/v1/watch"
	PathLease  = "/v1/leases"
	PathServer = "/v1/servers"
	PathOrder  = "/v1/orders"
	PathUsage  = "/v1/usage"
	PathHost   = "/v1/hosts"
)

// Value is a value of the key-value service.
type Value struct {
	Key string `json:"key"`
	// Data is base64 in JSON.
	Data []byte `json:"value"`
	// Revision of the change that wrote it; revisions of all keys are one sequence.
	Revision uint64 `json:"revision"`
	// Lease with which the value ends; 0 is none.
	Lease uint64 `json:"lease,omitempty"`
	// Deleted is true in events of a watch.
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

// SwapReply is the answer of PUT and DELETE /v1/kv: 200 with the new revision,
// or 409 with the present one.
type SwapReply struct {
	Revision uint64 `json:"revision"`
}

// ListReply is the answer of GET /v1/kv?prefix= and of GET /v1/watch?prefix=&after=,
// which waits up to wait for a change after the revision.
type ListReply struct {
	Values []Value `json:"values"`
	// Revision is the newest of the whole service.
	Revision uint64 `json:"revision"`
}

// LeaseRequest is the body of POST /v1/leases, and of PUT /v1/leases to renew.
type LeaseRequest struct {
	ID uint64 `json:"id,omitempty"`
	// Length in milliseconds.
	Length int64 `json:"length"`
}

// LeaseReply is the answer of POST and PUT /v1/leases; a lapsed lease answers 404.
type LeaseReply struct {
	ID uint64 `json:"id"`
}

// Order is the body of POST /v1/orders: start or stop a backend server.
// The platform runs an order's ID once, and refuses (409) a fence lower than
// one that it has seen for the zone.
type Order struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Pool   string `json:"pool"`
	Action string `json:"action"`
	Server string `json:"server"`
	Fence  uint64 `json:"fence"`
	// NotAfter is when the order must no longer be taken, milliseconds since 1970 UTC.
	NotAfter int64 `json:"not_after"`
	// From names the process that sends it.
	From string `json:"from"`
}

// Server is a backend server in the answer of GET /v1/servers.
type Server struct {
	ID   string `json:"id"`
	Pool string `json:"pool"`
	Kind string `json:"kind"`
	Zone string `json:"zone"`
	// State is starting, live or stopping.
	State string `json:"state"`
}

// Usage is the body of POST /v1/usage: the figures of one window.
type Usage struct {
	// Start of the window and its length, seconds.
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
	// Late is the start of the window to which a late figure belongs; 0 if it is not late.
	Late int64 `json:"late,omitempty"`
}

// Host is a host in the answer of GET /v1/hosts, which lags.
type Host struct {
	Name string `json:"name"`
	// Address is the peer address of the process on it.
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

// Write is one value that a commit writes. Lease 0 is none.
type Write struct {
	Key   string
	Data  []byte
	Lease uint64
}

// Commit changes several keys at once, or none of them.
type Commit struct {
	Expect []Expect
	Writes []Write
	Remove []string
}

// FirstKey names the commit in errors by the first key that it changes.
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
